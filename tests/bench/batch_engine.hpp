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
    /// Tokens a second of a run that is alone.
    double pace = 50;
    /// How much each further run slows all of them.
    double batch_slowdown = 0.06;
    std::size_t cached_prefixes = 12;
    /// Work of reading a prompt that is not cached, in tokens.
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
    /// Length of the whole answer, and what a resumed run brings along.
    std::uint32_t tokens = 0;
    std::uint32_t first_tokens = 0;
    /// Oldest version of what it brings along; 0 if it brings nothing.
    weight_version first_version = 0;
    bool is_interactive = false;
    std::function<void(weight_version)> on_start;
    std::function<void(const engine_result&)> on_end;
};

/// A model engine in virtual time: continuous batching, a queue by priority,
/// a prefix cache, swaps that pause what runs, crashes and slowness.
class batch_engine {
public:
    batch_engine(event_loop& loop, const engine_options& options)
        : loop_(loop)
        , options_(options) {}

    void submit(engine_run run);
    void cancel(std::uint64_t id);

    /// Tokens that a run has by now; nothing before it starts.
    [[nodiscard]] std::optional<std::uint32_t> tokens_of(std::uint64_t id);

    /// Sets the part of its pace that the engine keeps.
    void set_speed(double speed);
    void crash();
    void restart() { is_down_ = false; }
    void begin_swap();
    void end_swap(weight_version version);

    [[nodiscard]] bool is_down() const { return is_down_; }
    [[nodiscard]] bool is_swapping() const { return is_swapping_; }
    [[nodiscard]] weight_version version() const { return version_; }
    [[nodiscard]] std::uint32_t load() const {
        return static_cast<std::uint32_t>(active_.size() + prompt_.size() +
                                          batch_.size());
    }

    /// Called with each prefix that enters the cache.
    std::function<void(std::uint64_t)> on_cached;

private:
    struct active_run {
        engine_run run;
        double left = 0;
        weight_version oldest = 0;
    };

    void advance();
    void fill();
    void plan();
    void finish_ready();
    [[nodiscard]] double pace() const;
    [[nodiscard]] bool touch_prefix(std::uint64_t prefix);

    event_loop& loop_;
    engine_options options_;
    std::map<std::uint64_t, active_run> active_;
    std::deque<engine_run> prompt_;
    std::deque<engine_run> batch_;
    std::list<std::uint64_t> cache_;
    steady_time advanced_{};
    std::uint64_t plan_ = 0;
    double speed_ = 1;
    weight_version version_ = 1;
    bool is_down_ = false;
    bool is_swapping_ = false;
};

} // namespace savorydock::bench
