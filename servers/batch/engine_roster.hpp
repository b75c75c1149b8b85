#pragma once

#include "core/clock.hpp"
#include "servers/batch/batch_job.hpp"
#include "servers/batch/item_probation.hpp"
#include "servers/batch/job_demand.hpp"
#include "servers/fleet/upstream_entry.hpp"
#include "servers/fleet/upstream_limits.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savorydock {

struct engine_roster_options {
    /// Share of an engine's cache that planned items may fill. The rest is
    /// reserved for texts that become longer than their callers expected.
    double cache_share = 0.9;
    /// How long an engine gets no new items after it refused a run or broke the
    /// stream. Doubles with each consecutive failure, up to `longest_pause`.
    std::chrono::milliseconds first_pause{250};
    std::chrono::milliseconds longest_pause{4'000};
    /// Minimum number of events before the measured speed of an engine is used
    /// to move runs.
    std::uint64_t min_measured_events = 24;
    /// An engine that is slower than the typical one by this factor is treated
    /// as temporarily slow. Must exceed the difference between engine types,
    /// which is a factor of 1.3.
    double slow_ratio = 1.6;
    /// The measured speed of a slow, idle engine is discarded after this time.
    /// Otherwise no run would start there, and its recovery would go unnoticed.
    /// Slow phases last 5 to 8 s.
    std::chrono::milliseconds slow_reset_time{4'000};
    /// Items that may start at once on an engine that limits its requests, in
    /// addition to those that it accepts in one second.
    double limit_burst = 2;
    /// A pause after a refused item doesn't hold for items that are smaller
    /// than this share of it.
    double unpaused_share = 0.5;
    /// How long an engine is reserved for an item at most.
    std::chrono::milliseconds longest_reservation{10'000};
};

/// What an item requires of an engine.
struct engine_requirements {
    const std::string& model;
    weight_version min_version = 0;
    /// Cache tokens that the item is expected to fill.
    std::uint64_t cache_tokens = 0;
    /// Engines that failed on the item; chosen only if no other has room.
    const std::set<upstream_id>& avoid;
    /// The software that the engine must have; any if null.
    const software_version* software = nullptr;
    /// The item, so that it can use an engine that is reserved for it.
    const item_key* item = nullptr;
    /// The item is on probation: prefers idle engines, then those that refused
    /// a probe the longest time ago.
    bool is_probe = false;
};

/// Keeps other new items off an engine until an item has room there.
struct engine_reservation {
    item_key item;
    steady_time since;
};

/// An engine with its load of planned items and its measured speed.
struct roster_entry {
    /// The upstream as last listed.
    upstream_entry listed_upstream;
    std::size_t running = 0;
    std::map<std::string, std::size_t> running_by_model;
    /// Cache tokens that its runs are expected to fill.
    std::uint64_t cache_tokens = 0;
    std::uint64_t measured_events = 0;
    /// Smoothed time per event; 0 if not measured.
    double event_milliseconds = 0;
    steady_time measured_at{};
    /// Gets no new items of `paused_tokens` or more before this time; only no
    /// items of `paused_job` if there is one.
    steady_time not_before{};
    std::uint64_t paused_tokens = 0;
    std::optional<job_id> paused_job;
    std::uint32_t failures_in_row = 0;
    /// Refusals since the engine last accepted an item, those during a pause
    /// left out.
    std::uint32_t refusals_in_row = 0;
    steady_time probe_refused_at{};
    std::optional<engine_reservation> reservation;
};

/// Tracks the load and speed of the engines of one service and chooses the
/// engine for the next item.
///
/// Load pattern: engines differ in speed, slow down for seconds, fail, load
/// weights and run out of cache. The fastest engine with a free slot is chosen.
/// The share of occupied slots breaks ties, because six concurrent runs slow
/// each stream down by a few percent.
///
/// Not thread safe; deterministic.
class engine_roster {
public:
    /// Whether an upstream refuses new runs of a model.
    using loading_check = std::function<bool(
        const upstream_id&, const std::string& model, steady_time now)>;

    engine_roster(engine_roster_options options, loading_check is_loading);
    engine_roster(const engine_roster&) = delete;
    engine_roster& operator=(const engine_roster&) = delete;

    /// Sets the current upstreams of the service. Engines that are no longer
    /// listed get no new items. `cache_tokens` is the cache capacity of one
    /// engine, or 0 if not known. Returns whether any engine is new or has
    /// restarted.
    bool set_upstreams(const std::vector<upstream_entry>& upstreams,
                       std::uint64_t cache_tokens, steady_time now);

    /// Returns the best engine for an item, or null if none is available.
    [[nodiscard]] const roster_entry*
    choose(const engine_requirements& requirements, steady_time now) const;
    /// Returns the most cache tokens that an item may need to find room now.
    /// Nothing if no engine with a free slot may serve it.
    [[nodiscard]] std::optional<std::uint64_t>
    largest_room(const engine_requirements& requirements,
                 steady_time now) const;
    /// Returns the engines that may serve the item once they have room, and
    /// aren't reserved.
    [[nodiscard]] std::vector<upstream_id>
    reservable(const engine_requirements& requirements, steady_time now) const;
    /// Reserves the engine for the item. Precondition: it isn't reserved.
    void reserve(const upstream_id& id, engine_reservation reservation);
    /// Ends the item's reservation, if it has one. Returns whether it had.
    bool cancel_reservation(const item_key& item);
    void cancel_reservations(const job_id& job);
    /// Ends reservations of engines that leave, and those that have lasted too
    /// long; returns the items of the latter.
    std::vector<item_key> drop_old_reservations(steady_time now);
    /// The engine that is reserved for each item.
    [[nodiscard]] const std::map<item_key, upstream_id>& reservations() const {
        return reserved_;
    }
    /// Number of listed engines that aren't draining.
    [[nodiscard]] std::size_t usable_engines() const;
    /// Returns the engine, or null if unknown.
    [[nodiscard]] const roster_entry* find(const upstream_id& id) const;
    /// Whether an engine of this software is listed and not draining.
    [[nodiscard]] bool has_software(const software_version& software) const;
    /// Median time per event of the measured engines; 0 if there are none.
    [[nodiscard]] double typical_event_milliseconds() const {
        return typical_milliseconds_;
    }
    /// The speed of all listed engines together; that of an engine which isn't
    /// measured counts as the typical one.
    [[nodiscard]] service_speed speed(std::uint64_t tokens_per_event) const;
    [[nodiscard]] bool is_loading(const upstream_id& id,
                                  const std::string& model,
                                  steady_time now) const {
        return is_loading_(id, model, now);
    }

    /// Sets the fraction of the engines' request limits that items may use. The
    /// rest is for requests that callers send to the engines directly.
    void set_limit_fraction(double fraction) { limit_fraction_ = fraction; }
    /// Records the request limit that an engine's answer names, or that it
    /// names none.
    void on_request_limit(const upstream_id& id,
                          std::optional<double> requests_per_second,
                          steady_time answered_at) {
        limits_.on_answer(id, requests_per_second, answered_at);
    }
    /// Counts a request to the engine against its limit.
    void count_request(const upstream_id& id, steady_time now) {
        limits_.reserve(id, now);
    }

    /// Records that a run of a model starts (`occupy`) or ends (`release`).
    /// `cache_tokens` must be the same in both calls.
    void occupy(const upstream_id& id, const std::string& model,
                std::uint64_t cache_tokens);
    void release(const upstream_id& id, const std::string& model,
                 std::uint64_t cache_tokens);
    /// Resets the load of all engines to zero.
    void clear_runs();

    /// Records the time that an engine took for events of a run. `span` must
    /// not include the wait before the first event.
    void record_speed(const upstream_id& id, std::uint64_t events,
                      steady_time::duration span, steady_time now);
    /// Gives the engine no new items for a time; call after a failure. Returns
    /// how long.
    std::chrono::milliseconds pause_engine(const upstream_id& id,
                                           steady_time now);
    /// The same after the engine refused an item of the job as if full. Smaller
    /// items may still start, and items of other jobs until one of them is
    /// refused, too. Refusals of items that were sent before the pause began
    /// don't prolong it. Pauses double unless the cause is unclear.
    /// Precondition: the cause isn't the item.
    std::chrono::milliseconds pause_refusing_engine(const upstream_id& id,
                                                    const job_id& job,
                                                    std::uint64_t cache_tokens,
                                                    refusal_cause cause,
                                                    steady_time now);
    /// The engine refused a probe, which says nothing about other items.
    void on_probe_refused(const upstream_id& id, steady_time now);
    /// The engine began to process an item.
    void on_accepted(const upstream_id& id);
    /// The engine completed an item.
    void on_success(const upstream_id& id);
    /// Computes the typical speed again and discards outdated speeds of slow
    /// engines.
    void update_typical_speed(steady_time now);

    [[nodiscard]] bool is_measured(const roster_entry& engine) const {
        return engine.measured_events >= options_.min_measured_events;
    }
    [[nodiscard]] std::size_t runs_on(const upstream_id& id,
                                      const std::string& model) const;

private:
    /// Whether the engine's pause holds for the item, unless it is smaller than
    /// `paused_tokens`. Without an item: whether it holds for any.
    [[nodiscard]] static bool is_paused(const roster_entry& engine,
                                        const item_key* item, steady_time now);
    /// Whether the engine may serve the item, its room and pause aside.
    [[nodiscard]] bool may_serve(const roster_entry& engine,
                                 const engine_requirements& requirements,
                                 steady_time now) const;
    /// The most cache tokens that the item may need to start now; nothing
    /// without a free slot or during a pause for all items.
    [[nodiscard]] std::optional<std::uint64_t>
    room_for(const roster_entry& engine, const item_key* item,
             steady_time now) const;
    [[nodiscard]] double cost_of(const roster_entry& engine) const;

    [[nodiscard]] limit_part part_of_limit(double requests_per_second) const;

    engine_roster_options options_;
    loading_check is_loading_;
    upstream_limits limits_;
    double limit_fraction_ = 1;
    std::map<upstream_id, roster_entry> engines_;
    std::map<item_key, upstream_id> reserved_;
    std::uint64_t cache_tokens_ = 0;
    double typical_milliseconds_ = 0;
};

} // namespace savorydock
