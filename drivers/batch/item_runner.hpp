#pragma once

#include "core/clock.hpp"
#include "core/logger.hpp"
#include "drivers/front/plain_caller.hpp"
#include "drivers/http/http_client.hpp"
#include "servers/batch/run_message.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace savorydock {

/// The output of a run. Owned outside the run's coroutine, so that it survives
/// a cancellation.
struct run_record {
    /// The text from the first event on, including the output of earlier runs.
    item_progress progress;
    /// The part that was reported already: counts of events, bytes and
    /// versions.
    std::uint64_t reported_events = 0;
    std::size_t reported_bytes = 0;
    std::size_t reported_versions = 0;
    /// A stop was requested.
    bool is_stopped = false;

    /// The record of a run that resumes after `text`.
    static run_record resumed_after(item_progress text);
    /// Returns what was added since the last report and marks it as reported.
    [[nodiscard]] run_delta take_delta(run_ticket ticket);
};

/// Runs items on engines and scores their texts. Not thread safe: all calls
/// must come from one traffic thread.
class item_runner {
public:
    /// Called when an answer says that an upstream limits its requests to this
    /// rate per second, or that it doesn't.
    using limit_handler =
        std::function<void(const run_task& task, std::optional<double> limit)>;

    /// Asked before each request; once it returns false, none is sent any more.
    using run_check = std::function<bool()>;

    /// Called when an upstream said that it leaves, or a run was refused
    /// because it had said so.
    using leaving_handler = std::function<void(const run_task& task)>;

    /// All references must outlive the runner. A run whose text would exceed
    /// `max_text_bytes`, or the events that its task allows, is ended.
    item_runner(http_client& client, plain_caller& scorers, fleet_state& fleet,
                logger& log,
                std::size_t max_text_bytes = default_max_text_bytes);

    /// Runs an item until its stream ends. Cancelling the coroutine closes the
    /// connection, which makes the engine drop the run; `record` then holds
    /// what was received so far. A run that isn't wanted any more before its
    /// request is sent ends as stopped.
    boost::asio::awaitable<run_end> run(
        std::shared_ptr<const run_task> task,
        std::shared_ptr<run_record> record,
        run_check is_wanted = [] { return true; });

    void on_limit(limit_handler handler) { on_limit_ = std::move(handler); }
    void on_leaving(leaving_handler handler) {
        on_leaving_ = std::move(handler);
    }

    /// Scores a finished text. Retries until it has a score, the scorer has
    /// failed as often as its route allows, the score isn't wanted any more, or
    /// the coroutine is cancelled; the last three return nothing.
    boost::asio::awaitable<std::optional<std::string>> score(
        std::shared_ptr<const run_task> task,
        run_check is_wanted = [] { return true; });

private:
    http_client& client_;
    plain_caller& scorers_;
    fleet_state& fleet_;
    logger& log_;
    std::size_t max_text_bytes_;
    limit_handler on_limit_ = [](const run_task&, std::optional<double>) {};
    leaving_handler on_leaving_ = [](const run_task&) {};
};

} // namespace savorydock
