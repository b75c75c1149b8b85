#pragma once

#include "drivers/caller_http/request_lifecycle.hpp"
#include "drivers/caller_http/upstream_attempt.hpp"
#include "servers/delivery/answer_assembler.hpp"

#include <functional>
#include <string>

namespace savorydock {

/// A prompt to run until its answer is complete. If a stream breaks off, the
/// run resumes on another upstream after the last token received.
struct generation_task {
    std::string stream;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    std::uint32_t seed = 0;
    std::uint64_t prefix_hash = 0;
    std::uint32_t expected_tokens = 0;
    /// Upstreams on which the prompt must not run.
    std::vector<upstream_id> excluded;
    /// Whether the prompt is blocked once several upstreams were lost while
    /// they ran it. A sample of a step never is: the trainer waits until it has
    /// it.
    bool may_be_blocked = true;
    /// The state of the request; null for the runs of a step, whose slots have
    /// their own state chart.
    request_lifecycle* lifecycle = nullptr;
    /// Called with the upstream of each attempt before the attempt starts.
    std::function<void(const upstream_id&)> on_upstream;
    /// Returns whether the run should now move to another upstream. Called
    /// when `sink` has ended an attempt.
    std::function<bool()> must_move;
    /// Returns the number of the next attempt, or 0 if the result of the run
    /// is no longer needed.
    std::function<attempt_number()> next_attempt;
    /// Receives new tokens; returning false ends the attempt.
    std::function<boost::asio::awaitable<bool>(const stream_event&)> sink;
};

/// Runs a task until the answer is complete, the retry rules allow no further
/// attempt, or the deadline passes. The answer is complete if and only if the
/// outcome has a value. Must run on the thread of `worker`.
boost::asio::awaitable<outcome<done>>
run_generation(const generation_task& task, const caller_request& request,
               std::size_t worker, answer_assembler& answer,
               traffic_services& services);

/// Hashes the beginning of a prompt, for which engines may hold a cached
/// prefix.
[[nodiscard]] std::uint64_t hash_prefix(const std::string& prompt);

} // namespace savorydock
