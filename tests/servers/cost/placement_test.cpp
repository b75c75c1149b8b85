#include "servers/cost/placement.hpp"

#include <gtest/gtest.h>

#include <map>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class placement_test : public ::testing::Test {
public:
    std::size_t choose(const call_cost& cost) {
        std::vector<placement_candidate> candidates;
        for (const upstream_id& id : ids) {
            candidates.push_back({.upstream = id, .slots = 6});
        }
        return placed.choose(candidates, cost, now);
    }

    /// Plays one call to the upstream.
    void answer(std::size_t upstream, const call_cost& cost,
                std::chrono::milliseconds time,
                call_outcome end = call_outcome::answered) {
        const auto number = placed.on_started(ids[upstream], cost, now);
        now += time;
        placed.on_ended(ids[upstream], cost, number, end, time, now);
    }

    std::map<std::size_t, int> choose_often(const call_cost& cost) {
        std::map<std::size_t, int> chosen;
        for (int call = 0; call < 300; ++call) {
            ++chosen[choose(cost)];
        }
        return chosen;
    }

    std::vector<upstream_id> ids{upstream_id("a"), upstream_id("b"),
                                 upstream_id("c")};
    placement placed{{}};
    steady_time now{1h};
    const call_cost small{.expected = 25ms};
    const call_cost large{.expected = 200ms, .is_large = true};
};

} // namespace

// Load: many idle instances, which must not all choose the same upstream.
TEST_F(placement_test, equal_upstreams_are_chosen_equally_often) {
    for (const auto& [upstream, calls] : choose_often(small)) {
        EXPECT_NEAR(calls, 100, 40) << upstream;
    }
}

TEST_F(placement_test, small_call_avoids_upstreams_with_large_ones) {
    for (int call = 0; call < 4; ++call) {
        placed.on_started(ids[0], large, now);
        placed.on_started(ids[1], small, now);
    }
    EXPECT_EQ(choose(small), 2U);
    placed.on_started(ids[2], large, now);
    placed.on_started(ids[2], large, now);
    EXPECT_EQ(choose(small), 1U);
}

TEST_F(placement_test, burst_of_large_calls_spreads_evenly) {
    std::map<std::size_t, int> calls;
    for (int call = 0; call < 12; ++call) {
        const std::size_t chosen = choose(large);
        ++calls[chosen];
        placed.on_started(ids[chosen], large, now);
    }
    EXPECT_EQ(calls, (std::map<std::size_t, int>{{0, 4}, {1, 4}, {2, 4}}));
}

// Load: an upstream becomes four times slower for some seconds.
TEST_F(placement_test, slow_upstream_is_avoided_probed_and_used_again) {
    for (int call = 0; call < 8; ++call) {
        answer(0, small, 100ms);
    }
    EXPECT_EQ(choose_often(small).count(0), 0U);
    EXPECT_EQ(choose_often(large).count(0), 0U);
    now += 1'100ms;
    EXPECT_EQ(choose(small), 0U);
    EXPECT_NE(choose(large), 0U);
    const auto probe = placed.on_started(ids[0], small, now);
    EXPECT_NE(choose(small), 0U);
    placed.on_ended(ids[0], small, probe, call_outcome::cancelled, 1ms, now);
    now += 20s;
    EXPECT_EQ(choose_often(large).count(0), 1U);
}

TEST_F(placement_test, overdue_call_counts_before_it_ends) {
    placed.on_started(ids[0], small, now);
    now += 200ms;
    EXPECT_LT(placed.work().speed(ids[0], now), 0.8);
    EXPECT_NE(choose(large), 0U);
}

// Load: an upstream answers a part of its requests with errors, quickly.
TEST_F(placement_test, fast_errors_do_not_attract_calls) {
    for (int call = 0; call < 6; ++call) {
        answer(0, small, 1ms, call_outcome::answered_with_error);
    }
    EXPECT_EQ(choose_often(small).count(0), 0U);
}

TEST_F(placement_test, reported_work_counts_until_it_is_two_seconds_old) {
    placed.work().on_report({.upstream = ids[0], .work = 6'000'000}, 500ms,
                            now);
    EXPECT_EQ(placed.work().reported(ids[0], now), 4'500ms);
    EXPECT_EQ(choose_often(small).count(0), 0U);
    now += 1'500ms;
    EXPECT_EQ(placed.work().reported(ids[0], now), 0ms);
}

TEST_F(placement_test,
       call_to_an_upstream_that_was_removed_ends_without_trace) {
    const auto number = placed.on_started(ids[0], small, now);
    placed.work().retain({ids[1]});
    placed.on_ended(ids[0], small, number, call_outcome::answered, 25ms, now);
    EXPECT_EQ(placed.work().own(ids[0], now).calls, 0U);
}
