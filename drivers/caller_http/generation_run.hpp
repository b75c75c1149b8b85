#pragma once

#include "drivers/caller_http/request_life.hpp"
#include "drivers/caller_http/upstream_attempt.hpp"
#include "servers/delivery/answer_assembler.hpp"

#include <functional>
#include <string>

namespace savorydock {

/// A prompt to run until its answer is whole, over several upstreams if need
/// be: a stream that is cut is resumed elsewhere behind its last token.
struct generation_order {
    std::string stream;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    std::uint32_t seed = 0;
    std::uint64_t prefix_hash = 0;
    std::uint32_t expected_tokens = 0;
    /// Upstreams that it should not run on.
    std::vector<upstream_id> excluded;
    /// The request's own life; null for the runs of a step, whose slots have
    /// a chart of their own.
    request_life* life = nullptr;
    /// Hears which upstream runs it.
    std::function<void(const upstream_id&)> on_upstream;
    /// Whether it should be resumed on another upstream now.
    std::function<bool()> must_move;
    /// Gives the number of the next attempt, or 0 if the run no longer
    /// counts.
    std::function<attempt_number()> next_attempt;
    /// Takes the text of new tokens; false ends the run.
    std::function<boost::asio::awaitable<bool>(const stream_event&)> sink;
};

/// Runs an order until the assembler's answer is whole, the rules forbid
/// another attempt, or the deadline passes. The answer is whole if and only
/// if the outcome has a value. Runs on the worker's thread.
boost::asio::awaitable<outcome<done>>
run_generation(const generation_order& order, const caller_request& request,
               std::size_t worker, answer_assembler& answer,
               traffic_services& services);

/// A hash of the first part of a prompt, which engines may have cached.
[[nodiscard]] std::uint64_t hash_prefix(const std::string& prompt);

} // namespace savorydock
