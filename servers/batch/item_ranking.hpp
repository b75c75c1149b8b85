#pragma once

#include "servers/batch/batch_job.hpp"

#include <cstdint>
#include <vector>

namespace savorydock {

/// What is known of an item before it runs.
struct ranked_item {
    std::uint64_t prompt_tokens = 0;
    /// Tokens that will probably be generated.
    std::uint64_t expected_tokens = 0;
    /// Smaller starts first within the job; unique.
    std::size_t rank = 0;
};

/// Decides the order in which the items of one job start.
///
/// Load pattern: a job of more items than there are slots, with long tails, of
/// which the trainer waits for a share of the groups. The groups with the
/// longest items are those it can do without, so they go last; among the others
/// the longest items go first, since they decide when their groups are whole.
///
/// Thread safe. Returns one entry an item, in the job's order.
[[nodiscard]] std::vector<ranked_item> rank_items(const batch_job& job);

} // namespace savorydock
