#pragma once

#include "servers/batch/engine_roster.hpp"
#include "servers/batch/item_probation.hpp"
#include "servers/batch/job_order.hpp"
#include "servers/batch/room_queue.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace savorydock {

/// The default maximum size of an item's text: three fifths of a value of the
/// store, which leaves room for base64.
inline constexpr std::size_t default_max_text_bytes = (1U << 20U) * 3 / 5;

struct item_planner_options {
    engine_roster_options engines;
    item_probation_options probation;
    room_queue_options rooms;
    /// Minimum time between two commits of a job, so that one write lists
    /// several results. A trainer can't use results before their group is
    /// complete, so the delay doesn't matter to it.
    std::chrono::milliseconds commit_interval{1'000};
    /// The same if a group became complete: short, but long enough for groups
    /// that complete together to share a write.
    std::chrono::milliseconds complete_group_interval{40};
    /// Delay before a refused commit is retried.
    std::chrono::milliseconds commit_retry_delay{220};
    /// An item moves to another engine with a free slot if its own engine is
    /// slower by this factor. A move costs about ten milliseconds, because the
    /// other engine processes prompt and text again.
    double move_ratio = 1.15;
    /// An item moves only if that saves at least this much time.
    std::chrono::milliseconds min_time_saved{300};
    /// Maximum number of moves of one item.
    std::uint32_t max_moves = 4;
    /// Maximum number of moves in one check.
    std::size_t moves_per_round = 8;
    /// Minimum number of events of a run before it may move, so that its
    /// processing of the prompt pays off.
    std::uint64_t min_events_before_move = 4;
    /// A run without events for this long is stopped, unless its engine is
    /// loading weights. Runners report every 400 ms.
    std::chrono::milliseconds stall_timeout{1'000};
    /// Events that a slow engine must be behind with as well, at its measured
    /// speed, before its run counts as stalled.
    double stall_events = 4;
    /// How long a run whose runner was taken for lost is remembered, in case
    /// the runner was only silent.
    std::chrono::milliseconds lost_run_retention{15'000};
    /// Texts of runs in progress are saved at this interval, each one if it has
    /// at least `save_events` new events.
    std::chrono::milliseconds save_period{1'500};
    std::uint64_t save_events = 12;
    /// Maximum number of texts kept from ended jobs, in case a later job
    /// submits the same items again.
    std::size_t max_retained_texts = 2'048;
    /// Maximum size of the texts in one commit of several results. The store
    /// refuses larger values for good; half of its limit leaves room for base64
    /// and escapes.
    std::size_t max_commit_bytes = 1U << 19U;
    /// Maximum size of an item's text. A longer one fits into no value of the
    /// store and so can't be listed.
    std::size_t max_text_bytes = default_max_text_bytes;
    /// Number of ended jobs that are remembered. The end of a job and its
    /// submission can cross only within seconds.
    std::size_t max_ended_jobs = 4'096;
    /// Interval of the checks for slow or stalled runs.
    std::chrono::milliseconds check_period{250};
    /// How long a new planner waits for instances to report the runs of its
    /// predecessor: a few round trips, and the transfer of the texts over a
    /// slow link.
    std::chrono::milliseconds adoption_timeout{350};
    job_order_options order;
};

} // namespace savorydock
