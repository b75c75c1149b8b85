#pragma once

#include "core/clock.hpp"
#include "core/logger.hpp"
#include "drivers/front/plain_caller.hpp"
#include "drivers/http/http_client.hpp"
#include "servers/batch/item_planner.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace savorydock {

/// What a run has made so far, kept where it outlives the cancelled run.
struct run_record {
    item_progress progress;
    /// Asks for the end; the run reports what it has.
    bool is_stopped = false;
};

/// Runs items on engines and scores their texts. Belongs to one traffic
/// thread.
class item_runner {
public:
    /// All references must outlive the runner.
    item_runner(http_client& client, plain_caller& scorers, fleet_state& fleet,
                logger& log);

    /// Runs an item until its stream ends. Cancelling it closes the
    /// connection, by which the engine drops the run; `record` has what came
    /// until then.
    boost::asio::awaitable<run_end> run(const start_run& command,
                                        std::shared_ptr<run_record> record);

    /// Scores a finished text; repeats until there is a score, the scorer has
    /// failed as often as its route allows or the coroutine is cancelled.
    boost::asio::awaitable<std::optional<std::string>>
    score(const start_scoring& command);

private:
    http_client& client_;
    plain_caller& scorers_;
    fleet_state& fleet_;
    logger& log_;
};

} // namespace savorydock
