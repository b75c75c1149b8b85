#pragma once

#include "core/clock.hpp"
#include "core/logger.hpp"
#include "drivers/front/plain_caller.hpp"
#include "drivers/http/http_client.hpp"
#include "servers/batch/run_message.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace savorydock {

/// What a run has made, kept where it outlives the cancelled run.
struct run_record {
    /// The whole text from the first event on.
    item_progress whole;
    /// What was reported of it: events, bytes and the number of versions.
    std::uint64_t reported_events = 0;
    std::size_t reported_bytes = 0;
    std::size_t reported_versions = 0;
    /// Somebody asked for the end.
    bool is_stopped = false;

    /// The record of a run that goes on behind a text.
    static run_record behind(item_progress text);
    /// What is new since the last report.
    [[nodiscard]] run_delta take_delta(run_ticket ticket);
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
    boost::asio::awaitable<run_end> run(std::shared_ptr<const run_task> task,
                                        std::shared_ptr<run_record> record);

    /// Scores a finished text; repeats until there is a score, the scorer has
    /// failed as often as its route allows or the coroutine is cancelled.
    boost::asio::awaitable<std::optional<std::string>>
    score(std::shared_ptr<const run_task> task);

private:
    http_client& client_;
    plain_caller& scorers_;
    fleet_state& fleet_;
    logger& log_;
};

} // namespace savorydock
