#pragma once

#include "servers/batch/batch_job.hpp"

#include <cstdint>
#include <vector>

namespace savorydock {

/// Size estimates and start order of an item.
struct ranked_item {
    std::uint64_t prompt_tokens = 0;
    /// Estimated number of generated tokens.
    std::uint64_t expected_tokens = 0;
    /// Items with a smaller rank start first; unique within the job.
    std::size_t rank = 0;
};

/// Returns the order in which the items of a job start, one entry per item in
/// the order of `job.items`.
///
/// Load pattern: a job has more items than there are slots, their lengths have
/// a long tail, and the trainer waits for only a share of the groups. The
/// groups with the longest items are the ones it can do without, so they start
/// last. Among the others the longest items start first, because they determine
/// when their groups are complete.
///
/// Thread safe.
[[nodiscard]] std::vector<ranked_item> rank_items(const batch_job& job);

/// Returns only the ranks. Thread safe.
[[nodiscard]] std::vector<std::size_t> item_ranks(const batch_job& job);

/// Returns the ranks of the items for a job that gets engines only now and
/// then, one entry per item. `tokens_left` has one entry per item, 0 for
/// finished ones.
///
/// Load pattern: a job yields to others, and few of its items run at a time. It
/// completes one group after the other: those that are partly finished first,
/// and among them the ones with the least work left.
///
/// Thread safe.
[[nodiscard]] std::vector<std::size_t>
item_ranks_by_group(const batch_job& job,
                    const std::vector<std::uint64_t>& tokens_left);

} // namespace savorydock
