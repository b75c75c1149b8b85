#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/step_schedule/length_estimator.hpp"
#include "servers/step_schedule/weights_forecast.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace savorydock {

struct step_schedule_options {
    std::uint32_t group_size = 1;
    /// Maximum number of versions by which a sample may lag behind the newest
    /// weights when it is handed over.
    std::uint32_t staleness_bound = 1;
    /// Trade-off between staleness and trainer idle time: 0 considers only
    /// staleness, 1 only idle time.
    double idle_weight = 0.5;
    /// Maximum number of hedged runs, as a fraction of all slots of the step.
    double hedge_budget = 0.05;
};

/// Identifies a slot by its position in the step.
struct slot_place {
    std::uint32_t group = 0;
    std::uint32_t index = 0;

    auto operator<=>(const slot_place&) const = default;
};

/// A run to start now.
struct slot_start {
    slot_place slot;
    std::uint64_t prefix_hash = 0;
    std::uint32_t expected_tokens = 0;
    /// Oldest version of the weights that the run may start with.
    weight_version minimum_version = 0;
};

/// Identifies a run of a slot; the caller numbers the runs.
struct run_key {
    slot_place slot;
    std::uint32_t run = 0;

    auto operator<=>(const run_key&) const = default;
};

enum class straggler_kind : std::uint8_t {
    /// Start a second run in parallel; the first answer counts.
    hedge,
    /// Cancel the run and continue from its tokens on another upstream.
    resume_elsewhere,
    /// Cancel the run, because its sample would be too stale on completion.
    /// The slot waits to be started again.
    restart,
};

struct straggler_action {
    straggler_kind kind = straggler_kind::hedge;
    run_key run;
};

/// Decides when each slot of a training step starts, and how to handle runs
/// that would delay the step or whose samples would be too stale.
///
/// Slots are idempotent: each may run more than once, and the session hands
/// over one answer. Deterministic; not thread safe.
class step_schedule {
public:
    /// `prefixes` holds the hash of each group's prompt. `lengths` and
    /// `forecast` must outlive the schedule.
    step_schedule(const step_schedule_options& options,
                  std::span<const std::uint64_t> prefixes,
                  const length_estimator& lengths,
                  const weights_forecast& forecast);

    /// Takes the next slot to start: the one with the longest expected answer
    /// among those that should not wait for the next weights. Returns nothing
    /// if no slot should start now.
    [[nodiscard]] std::optional<slot_start> next(steady_time now);

    /// Returns a slot taken by `next` to the waiting ones, for instance if no
    /// upstream had capacity.
    void put_back(slot_place slot);

    /// Records that a run has started on weights of `version`.
    void begin(const run_key& run, weight_version version, steady_time now);

    /// Records that a run has `tokens` tokens so far.
    void progress(const run_key& run, std::uint32_t tokens, steady_time now);

    /// Excludes the time since the run's last token from its pace and from
    /// stall detection, because its upstream is known to be paused, for
    /// instance to swap its weights.
    void exclude_pause(const run_key& run, steady_time now);

    /// Removes a run that ended without a usable answer; its slot waits again
    /// unless another run of it is in flight.
    void remove_run(const run_key& run);

    /// Records that the slot has its answer and removes all of its runs.
    void finish(slot_place slot);

    /// Records that the slot's answer was discarded; the slot waits again.
    void reopen(slot_place slot);

    /// Returns actions for the runs in flight. Call it about once a second,
    /// execute every action and report its result. Runs to be restarted or
    /// resumed elsewhere are removed from the schedule.
    [[nodiscard]] std::vector<straggler_action> review(steady_time now);

    [[nodiscard]] bool is_done() const { return open_slots_ == 0; }
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] std::size_t running() const { return runs_.size(); }

private:
    struct slot_entry {
        bool is_done = false;
        std::uint32_t moves = 0;
    };
    struct run_entry {
        run_key key;
        weight_version version = 0;
        steady_time pace_start{};
        steady_time last_token_at{};
        std::uint32_t first_tokens = 0;
        std::uint32_t tokens = 0;
        bool has_progress = false;
        bool is_hedged = false;
    };
    using waiting_slot = std::pair<double, slot_place>;

    [[nodiscard]] slot_entry& entry(slot_place slot);
    [[nodiscard]] run_entry* find(const run_key& run);
    [[nodiscard]] bool has_run(slot_place slot) const;
    void add_waiting(slot_place slot);
    [[nodiscard]] bool should_wait_for_weights(const expected_length& length,
                                               steady_time now) const;
    [[nodiscard]] weight_version
    min_start_version(const expected_length& length, steady_time now) const;
    [[nodiscard]] std::chrono::duration<double>
    expected_time(double tokens) const;
    [[nodiscard]] std::chrono::duration<double>
    remaining_time(const run_entry& run, steady_time now) const;
    [[nodiscard]] bool will_exceed_staleness(const run_entry& run,
                                             steady_time now) const;
    [[nodiscard]] std::optional<straggler_kind>
    choose_action(const run_entry& run, steady_time now);
    void update_typical_pace(steady_time now);

    step_schedule_options options_;
    std::vector<std::uint64_t> prefixes_;
    const length_estimator& lengths_;
    const weights_forecast& forecast_;
    std::vector<slot_entry> slots_;
    /// Sorted by the negated upper estimate of the length: longest first.
    std::set<waiting_slot> waiting_;
    std::vector<run_entry> runs_;
    std::size_t open_slots_ = 0;
    std::uint32_t hedges_ = 0;
    /// Tokens per second of the median run; 0 if unknown.
    double typical_pace_ = 0;
};

} // namespace savorydock
