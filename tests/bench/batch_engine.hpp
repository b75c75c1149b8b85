#pragma once

#include "core/ids.hpp"
#include "servers/control_server.hpp"
#include "tests/bench/event_loop.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>

namespace savorydock::bench {

struct engine_options {
    std::uint32_t slots = 16;
    /// Tokens per second of a run that is alone on the engine.
    double tokens_per_second = 50;
    /// Relative slowdown of all runs for each additional concurrent run.
    double batch_slowdown = 0.06;
    std::size_t cached_prefixes = 12;
    /// Cost of processing a prompt whose prefix isn't cached, in tokens.
    double prefill_tokens = 40;
};

struct engine_result {
    upstream_evidence evidence = upstream_evidence::answered;
    std::uint32_t tokens = 0;
    weight_version oldest_version = 0;
};

struct engine_run {
    std::uint64_t id = 0;
    std::uint64_t prefix = 0;
    /// Tokens of the complete answer, and how many of them a resumed run
    /// already has.
    std::uint32_t tokens = 0;
    std::uint32_t first_tokens = 0;
    /// Oldest weight version of the tokens that a resumed run already has; 0
    /// for a new run.
    weight_version first_version = 0;
    bool is_interactive = false;
    std::function<void(weight_version)> on_start;
    std::function<void(const engine_result&)> on_end;
};

/// Simulates a model engine in virtual time: continuous batching, one queue
/// per priority, a prefix cache, weight swaps that pause active runs, crashes
/// and reduced speed. Not thread safe.
class batch_engine {
public:
    batch_engine(event_loop& loop, const engine_options& options)
        : loop_(loop)
        , options_(options) {}

    void submit(engine_run run);
    void cancel(std::uint64_t id);

    /// Tokens that a run has generated so far; nothing before it starts.
    [[nodiscard]] std::optional<std::uint32_t> tokens_of(std::uint64_t id);

    /// Scales the engine's token rate; 1 is full speed.
    void set_speed(double speed);
    void crash();
    void restart() { is_down_ = false; }
    void begin_swap();
    void end_swap(weight_version version);

    [[nodiscard]] bool is_down() const { return is_down_; }
    [[nodiscard]] bool is_swapping() const { return is_swapping_; }
    [[nodiscard]] weight_version version() const { return version_; }
    [[nodiscard]] std::uint32_t load() const {
        return static_cast<std::uint32_t>(
            active_.size() + interactive_queue_.size() + batch_queue_.size());
    }

    /// Called for each prefix added to the cache.
    std::function<void(std::uint64_t)> on_cached;

private:
    struct active_run {
        engine_run run;
        double left = 0;
        weight_version oldest = 0;
    };

    void advance();
    void start_queued_runs();
    void schedule_next_finish();
    void finish_ready();
    [[nodiscard]] double tokens_per_second() const;
    [[nodiscard]] bool use_prefix(std::uint64_t prefix);

    event_loop& loop_;
    engine_options options_;
    std::map<std::uint64_t, active_run> active_;
    std::deque<engine_run> interactive_queue_;
    std::deque<engine_run> batch_queue_;
    std::list<std::uint64_t> cache_;
    steady_time advanced_{};
    std::uint64_t schedule_id_ = 0;
    double speed_ = 1;
    weight_version version_ = 1;
    bool is_down_ = false;
    bool is_swapping_ = false;
};

} // namespace savorydock::bench
