#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/step_schedule/length_estimator.hpp"
#include "servers/step_schedule/weights_outlook.hpp"

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
    /// Versions that a sample may lag behind the newest at hand-over.
    std::uint32_t staleness_bound = 1;
    /// 0 weighs staleness only, 1 weighs trainer idle time only.
    double idle_weight = 0.5;
    /// Second runs beside one in flight, as a part of all slots of the step.
    double hedge_budget = 0.05;
};

/// A slot by its place in the step.
struct slot_place {
    std::uint32_t group = 0;
    std::uint32_t index = 0;

    auto operator<=>(const slot_place&) const = default;
};

/// A run that should start now.
struct slot_start {
    slot_place slot;
    std::uint64_t prefix_hash = 0;
    std::uint32_t expected_tokens = 0;
    /// The oldest weights that it may start with.
    weight_version minimum_version = 0;
};

/// Names one run of one slot; runs are numbered by the caller.
struct run_key {
    slot_place slot;
    std::uint32_t run = 0;

    auto operator<=>(const run_key&) const = default;
};

enum class straggler_kind : std::uint8_t {
    /// Run it a second time beside the first; the first answer counts.
    hedge,
    /// Cancel it and go on from its tokens on another upstream.
    resume_elsewhere,
    /// Cancel it; it would be too old when it is done. It waits again.
    restart,
};

struct straggler_action {
    straggler_kind kind = straggler_kind::hedge;
    run_key run;
};

/// Decides which slots of one step start when, and what to do about runs that
/// would hold the step up or be too old in the end.
///
/// Slots are idempotent by nature: each may run more than once, the session
/// hands over one answer. Deterministic; not thread safe.
class step_schedule {
public:
    /// `prefixes` has the prompt hash of each group. `lengths` and `outlook`
    /// must outlive the schedule.
    step_schedule(const step_schedule_options& options,
                  std::span<const std::uint64_t> prefixes,
                  const length_estimator& lengths,
                  const weights_outlook& outlook);

    /// Takes the slot that should start next: the longest first, unless it
    /// had better wait for the next weights. Nothing if none should now.
    [[nodiscard]] std::optional<slot_start> next(steady_time now);

    /// Puts a slot that `next` gave back, for instance when no upstream had
    /// room.
    void put_back(slot_place slot);

    /// A run has begun on weights of `version`.
    void begin(const run_key& run, weight_version version, steady_time now);

    /// A run has this many tokens by now.
    void progress(const run_key& run, std::uint32_t tokens, steady_time now);

    /// The run's upstream is known to stand still, for instance to swap its
    /// weights: neither silence nor pace of that time is held against it.
    void excuse(const run_key& run, steady_time now);

    /// A run ended without an answer that counts; the slot waits again unless
    /// another run of it is in flight.
    void lose(const run_key& run);

    /// The slot has its answer. Its other runs no longer count.
    void finish(slot_place slot);

    /// The slot's answer was discarded after all: it waits again.
    void reopen(slot_place slot);

    /// Decides about the runs in flight. Call it about once a second; carry
    /// out every action and report what came of it. A run that is restarted or
    /// resumed is forgotten here.
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
        steady_time since{};
        steady_time advanced{};
        std::uint32_t first_tokens = 0;
        std::uint32_t tokens = 0;
        bool has_progress = false;
        bool is_hedged = false;
    };
    using waiting_slot = std::pair<double, slot_place>;

    [[nodiscard]] slot_entry& entry(slot_place slot);
    [[nodiscard]] run_entry* find(const run_key& run);
    [[nodiscard]] bool has_run(slot_place slot) const;
    void wait_again(slot_place slot);
    [[nodiscard]] bool is_held(const expected_length& length,
                               steady_time now) const;
    [[nodiscard]] weight_version oldest_start(const expected_length& length,
                                              steady_time now) const;
    [[nodiscard]] std::chrono::duration<double>
    expected_time(double tokens) const;
    [[nodiscard]] std::chrono::duration<double>
    remaining_time(const run_entry& run, steady_time now) const;
    [[nodiscard]] bool will_be_too_old(const run_entry& run,
                                       steady_time now) const;
    [[nodiscard]] std::optional<straggler_kind> judge(const run_entry& run,
                                                      steady_time now);
    void update_typical_pace(steady_time now);

    step_schedule_options options_;
    std::vector<std::uint64_t> prefixes_;
    const length_estimator& lengths_;
    const weights_outlook& outlook_;
    std::vector<slot_entry> slots_;
    /// Ordered by expected length, negated: the longest comes first.
    std::set<waiting_slot> waiting_;
    std::vector<run_entry> runs_;
    std::size_t open_slots_ = 0;
    std::uint32_t hedges_ = 0;
    /// Tokens a second of the median run.
    double typical_pace_ = 0;
};

} // namespace savorydock
