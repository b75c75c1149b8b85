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

} // namespace savorydock
