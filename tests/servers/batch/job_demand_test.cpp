#include "servers/batch/item_ranking.hpp"
#include "servers/batch/job_demand.hpp"

#include <gtest/gtest.h>

namespace savorydock {

namespace {

/// Items of groups "a", "a", "b", "b" and two without a group, 10 tokens each.
batch_job make_job(std::uint32_t target_groups) {
    batch_job job{.target_groups = target_groups};
    for (const char* const group : {"a", "a", "b", "b", "", ""}) {
        job.items.push_back({.expected_tokens = 10, .group = group});
    }
    return job;
}

// Guards against a job that counts as late because of groups that its trainer
// doesn't need.
TEST(job_demand_test, only_the_cheapest_groups_of_the_share_are_needed) {
    const std::vector<std::uint64_t> left{10, 10, 0, 4, 10, 0};
    const job_demand two = demand_of(make_job(2), left);
    EXPECT_EQ(two.open_tokens, 34U);
    EXPECT_EQ(two.needed_tokens, 4U);
    EXPECT_EQ(two.longest_needed_tokens, 4U);
    EXPECT_EQ(demand_of(make_job(1), left).needed_tokens, 0U);
    EXPECT_EQ(demand_of(make_job(0), left).needed_tokens, 34U);
    EXPECT_EQ(demand_of(make_job(9), left).needed_tokens, 34U);
}

// Guards against a maximum that is taken for the expected length.
TEST(job_demand_test, item_without_estimate_counts_as_one_token) {
    EXPECT_EQ(estimated_tokens_left({.max_tokens = 900}, 0), 1U);
    EXPECT_EQ(
        estimated_tokens_left({.max_tokens = 50, .expected_tokens = 90}, 20),
        30U);
    EXPECT_EQ(estimated_tokens_left({.expected_tokens = 90}, 200), 1U);
}

// A text that takes longer on one slot than all slots take for the rest
// decides.
TEST(job_demand_test, longest_text_bounds_the_time) {
    const service_speed speed{.tokens_per_second = 100,
                              .slot_tokens_per_second = 10};
    const job_demand demand{.needed_tokens = 100, .longest_needed_tokens = 40};
    EXPECT_DOUBLE_EQ(least_time(demand, 0, speed).count(), 4);
    EXPECT_DOUBLE_EQ(least_time(demand, 900, speed).count(), 10);
}

// Guards against spare capacity that begins new groups first.
TEST(job_demand_test, begun_groups_rank_first_then_those_with_little_left) {
    batch_job job = make_job(0);
    job.items.resize(4);
    EXPECT_EQ(item_ranks_by_group(job, {10, 10, 10, 9}),
              (std::vector<std::size_t>{2, 3, 0, 1}));
    job.items[0].expected_tokens = 30;
    EXPECT_EQ(item_ranks_by_group(job, {30, 10, 10, 10}),
              (std::vector<std::size_t>{2, 3, 0, 1}));
}

} // namespace

} // namespace savorydock
