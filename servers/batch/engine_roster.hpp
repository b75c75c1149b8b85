#pragma once

#include "core/clock.hpp"
#include "servers/fleet/upstream_entry.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace savorydock {

struct engine_roster_options {
    /// Share of an engine's cache that planned items may fill; the rest is
    /// for texts that come out longer than their callers expected.
    double cache_share = 0.9;
    /// How long an engine that refused or broke off gets no new item; doubled
    /// with each further time in a row, up to the second figure.
    std::chrono::milliseconds first_pause{250};
    std::chrono::milliseconds longest_pause{4'000};
    /// Events on an engine before its speed is believed.
    std::uint64_t measured_least = 24;
    /// An engine so many times slower than the typical one is in trouble, not
    /// of a slower build (those of today's sites are 1.3 times slower).
    double trouble_ratio = 1.6;
    /// An idle engine in trouble is taken for a typical one again after this
    /// time: nothing would run there that could show its recovery. Slow spells
    /// last 5 to 8 s on today's sites.
    std::chrono::milliseconds trouble_memory{4'000};
};

/// What an item needs of an engine.
struct engine_need {
    const std::string& model;
    weight_version min_version = 0;
    /// Cache tokens that it will fill.
    std::uint64_t cache_tokens = 0;
    /// Engines that failed on it; taken only if there is no other.
    const std::set<upstream_id>& avoid;
};

/// One engine with the work that the planner has on it.
struct rostered_engine {
    upstream_entry entry;
    std::size_t running = 0;
    std::map<std::string, std::size_t> running_by_model;
    std::uint64_t cache_tokens = 0;
    std::uint64_t measured_events = 0;
    /// Smoothed time of one event; zero: not measured.
    double event_milliseconds = 0;
    steady_time measured_at{};
    steady_time not_before{};
    std::uint32_t failures_in_row = 0;
};

/// The engines of one service: what they hold and run, how fast they are, and
/// which of them takes the next item.
///
/// Load pattern: engines of unequal speed that slow down for seconds, break,
/// load weights and fill their caches. The fastest with a free slot is chosen,
/// and the share of its taken slots breaks ties, since a batch of six makes
/// each of its streams some percent slower.
///
/// Not thread safe; deterministic.
class engine_roster {
public:
    /// Whether an upstream refuses new runs of a model.
    using loading_test = std::function<bool(
        const upstream_id&, const std::string& model, steady_time now)>;

    engine_roster(engine_roster_options options, loading_test is_loading);

    /// The service's upstreams as listed now; those that vanished take no new
    /// work. `cache_tokens` is the cache of one engine, 0 if not known.
    void set_upstreams(const std::vector<upstream_entry>& upstreams,
                       std::uint64_t cache_tokens, steady_time now);

    /// The engine that takes an item now, or null if none has room.
    [[nodiscard]] const rostered_engine* choose(const engine_need& need,
                                                steady_time now) const;
    /// Returns the engine, or null.
    [[nodiscard]] const rostered_engine* find(const upstream_id& id) const;
    [[nodiscard]] bool is_loading(const upstream_id& id,
                                  const std::string& model,
                                  steady_time now) const {
        return is_loading_(id, model, now);
    }

    /// A run of a model starts or ends; `cache_tokens` are those it was
    /// planned with.
    void occupy(const upstream_id& id, const std::string& model,
                std::uint64_t cache_tokens);
    void release(const upstream_id& id, const std::string& model,
                 std::uint64_t cache_tokens);
    /// Forgets all runs.
    void clear_runs();

    /// A run made events within a span that had no wait before them.
    void measure(const upstream_id& id, std::uint64_t events,
                 steady_time::duration span, steady_time now);
    void set_aside(const upstream_id& id, steady_time now);
    void on_success(const upstream_id& id);
    /// Compares the engines' speeds anew.
    void review(steady_time now);

    [[nodiscard]] bool is_measured(const rostered_engine& engine) const {
        return engine.measured_events >= options_.measured_least;
    }
    [[nodiscard]] std::size_t runs_on(const upstream_id& id,
                                      const std::string& model) const;

private:
    [[nodiscard]] bool has_room(const rostered_engine& engine,
                                std::uint64_t cache_tokens) const;
    [[nodiscard]] double cost_of(const rostered_engine& engine) const;

    engine_roster_options options_;
    loading_test is_loading_;
    std::map<upstream_id, rostered_engine> engines_;
    std::uint64_t cache_tokens_ = 0;
    double typical_milliseconds_ = 0;
};

} // namespace savorydock
