#include "servers/weights/rollout_planner.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace savorydock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

rollout_upstream make_upstream(std::size_t index, weight_version version) {
    return {.name = upstream_id("u" + std::to_string(index)),
            .version = version,
            .is_ready = true};
}

std::vector<rollout_upstream> make_upstreams(std::size_t count,
                                             weight_version version = 1) {
    std::vector<rollout_upstream> upstreams;
    for (std::size_t i = 0; i < count; ++i) {
        upstreams.push_back(make_upstream(i, version));
    }
    return upstreams;
}

std::size_t count_events(const command_list& commands, log_event event) {
    return static_cast<std::size_t>(
        std::count_if(commands.begin(), commands.end(), [&](const auto& each) {
            const auto* const entry = std::get_if<log_command>(&each);
            return entry != nullptr && entry->event == event;
        }));
}

} // namespace

class rollout_planner_test : public ::testing::Test {
protected:
    std::vector<std::size_t> plan() {
        return planner_.plan(upstreams_, now_, out_);
    }
    /// Swaps the upstreams that the plan returns, all successfully. Returns how
    /// many.
    std::size_t swap_wave() {
        const auto chosen = plan();
        for (const std::size_t i : chosen) {
            upstreams_[i].version = planner_.goal().target;
            planner_.swap_done(upstreams_[i].name, upstreams_[i].version, now_);
        }
        return chosen.size();
    }

    rollout_planner planner_;
    std::vector<rollout_upstream> upstreams_ = make_upstreams(8);
    steady_time now_{seconds(1'000)};
    command_list out_;
};

struct wave_case {
    const char* name;
    std::size_t upstreams;
    rollout_goal goal;
    double load;
    std::size_t wave;
};

TEST_F(rollout_planner_test, wave_follows_floor_idle_weight_and_store) {
    const wave_case test_cases[] = {
        {"staleness only swaps down to the floor",
         8,
         {.target = 2, .capacity_floor = 0.5, .idle_weight = 0},
         0.9,
         4},
        {"idle time only keeps what the load needs",
         8,
         {.target = 2, .capacity_floor = 0.5, .idle_weight = 1},
         0.7,
         2},
        {"idle time only swaps one at full load",
         8,
         {.target = 2, .capacity_floor = 0.5, .idle_weight = 1},
         1.0,
         1},
        {"idle time only swaps down to the floor without load",
         8,
         {.target = 2, .capacity_floor = 0.5, .idle_weight = 1},
         0,
         4},
        {"the floor rounds up",
         9,
         {.target = 2, .capacity_floor = 0.5, .idle_weight = 0},
         0,
         4},
        {"the store's limit bounds the wave",
         8,
         {.target = 2, .capacity_floor = 0, .fetches_at_once = 3},
         0,
         3},
        {"a single upstream is swapped despite the floor",
         1,
         {.target = 2, .capacity_floor = 0.5},
         0,
         1},
        {"a floor of 1 forbids any swap",
         8,
         {.target = 2, .capacity_floor = 1},
         0,
         0},
    };
    for (const wave_case& test_case : test_cases) {
        rollout_planner planner;
        auto upstreams = make_upstreams(test_case.upstreams);
        for (auto& upstream : upstreams) {
            upstream.load = test_case.load;
        }
        planner.set_goal(test_case.goal, out_);
        EXPECT_EQ(planner.plan(upstreams, now_, out_).size(), test_case.wave)
            << test_case.name;
    }
}

TEST_F(rollout_planner_test, lower_version_is_ordered_only_by_rollback_from) {
    upstreams_ = make_upstreams(8, 9);
    planner_.set_goal({.target = 7}, out_);
    EXPECT_TRUE(plan().empty());
    planner_.set_goal({.target = 7, .rollback_from = 8}, out_);
    EXPECT_TRUE(plan().empty());
    planner_.set_goal({.target = 7, .rollback_from = 9}, out_);
    EXPECT_EQ(plan().size(), 4U);
}

TEST_F(rollout_planner_test, overtaken_version_is_skipped_and_logged) {
    planner_.set_goal({.target = 2, .idle_weight = 0}, out_);
    EXPECT_EQ(swap_wave(), 4U);
    planner_.set_goal({.target = 3, .idle_weight = 0.9}, out_);
    EXPECT_EQ(count_events(out_, log_event::rollout_skipped), 1U);
    // Those that missed version 2 go first, however busy they are.
    for (auto& upstream : upstreams_) {
        upstream.load = upstream.version == 1 ? 0.5 : 0;
    }
    const auto chosen = plan();
    ASSERT_EQ(chosen.size(), 4U);
    for (const std::size_t i : chosen) {
        EXPECT_EQ(upstreams_[i].version, 1U);
    }
    while (swap_wave() != 0) {
    }
    EXPECT_EQ(count_events(out_, log_event::rollout_finished), 1U);
}

TEST_F(rollout_planner_test, failing_upstream_is_retried_then_left_out) {
    planner_.set_goal({.target = 2, .idle_weight = 0}, out_);
    std::vector<steady_time> attempt_times;
    for (int step = 0; step < 1'000; ++step, now_ += milliseconds(100)) {
        for (const std::size_t i : plan()) {
            if (i == 0) {
                attempt_times.push_back(now_);
                planner_.swap_failed(upstreams_[i].name,
                                     swap_failure::upstream_failed, now_, out_);
            } else {
                upstreams_[i].version = 2;
                planner_.swap_done(upstreams_[i].name, 2, now_);
            }
        }
    }
    ASSERT_EQ(attempt_times.size(), 3U);
    EXPECT_LT(attempt_times[1] - attempt_times[0],
              attempt_times[2] - attempt_times[1]);
    EXPECT_EQ(count_events(out_, log_event::rollout_upstream_left_out), 1U);
    EXPECT_EQ(count_events(out_, log_event::rollout_finished), 1U);
    planner_.set_goal({.target = 3}, out_);
    EXPECT_FALSE(planner_.is_left_out(upstreams_[0].name));
}

TEST_F(rollout_planner_test,
       busy_store_shrinks_the_wave_and_counts_no_failure) {
    planner_.set_goal({.target = 2, .capacity_floor = 0, .idle_weight = 0},
                      out_);
    const auto first = plan();
    ASSERT_EQ(first.size(), 8U);
    for (auto& upstream : upstreams_) {
        upstream.is_ordered = true;
    }
    static_cast<void>(plan());
    for (auto& upstream : upstreams_) {
        upstream.is_ordered = false;
        planner_.swap_failed(upstream.name, swap_failure::store_busy, now_,
                             out_);
    }
    EXPECT_TRUE(plan().empty());
    now_ += seconds(3);
    EXPECT_EQ(plan().size(), 4U);
    EXPECT_FALSE(planner_.is_left_out(upstreams_[0].name));
    EXPECT_FALSE(planner_.is_stopped());
}

struct stop_case {
    const char* name;
    upstream_evidence swapped;
    upstream_evidence others;
    std::uint32_t answers;
    bool is_stopped;
};

TEST_F(rollout_planner_test, rollout_that_makes_upstreams_fail_is_stopped) {
    using enum upstream_evidence;
    const stop_case test_cases[] = {
        {"swapped upstreams crash", connection_lost, answered, 1, true},
        {"swapped upstreams time out", timed_out, answered, 10, true},
        {"too few answers to decide", timed_out, answered, 1, false},
        {"all upstreams crash", connection_lost, connection_lost, 10, false},
        {"all upstreams answer", answered, answered, 10, false},
        {"an overload report is no failure", reported_overloaded, answered, 10,
         false},
    };
    for (const stop_case& test_case : test_cases) {
        planner_ = rollout_planner();
        upstreams_ = make_upstreams(8);
        out_.clear();
        planner_.set_goal({.target = 2, .idle_weight = 0}, out_);
        ASSERT_EQ(swap_wave(), 4U);
        now_ += seconds(11);
        for (const auto& upstream : upstreams_) {
            for (std::uint32_t i = 0; i < test_case.answers; ++i) {
                planner_.observe(upstream.name,
                                 upstream.version == 2 ? test_case.swapped
                                                       : test_case.others,
                                 now_);
            }
        }
        EXPECT_EQ(plan().empty(), test_case.is_stopped) << test_case.name;
        EXPECT_EQ(count_events(out_, log_event::rollout_stopped),
                  test_case.is_stopped ? 1U : 0U)
            << test_case.name;
        planner_.set_goal({.target = 3, .idle_weight = 0}, out_);
        EXPECT_FALSE(plan().empty()) << test_case.name;
    }
}

TEST_F(rollout_planner_test, version_that_most_fail_to_load_is_stopped) {
    for (const std::size_t failing : {3U, 6U}) {
        planner_ = rollout_planner();
        upstreams_ = make_upstreams(9);
        planner_.set_goal({.target = 2, .capacity_floor = 0}, out_);
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            if (i < failing) {
                planner_.swap_failed(upstreams_[i].name,
                                     swap_failure::upstream_failed, now_, out_);
            } else {
                upstreams_[i].version = 2;
                planner_.swap_done(upstreams_[i].name, 2, now_);
            }
        }
        static_cast<void>(plan());
        EXPECT_EQ(planner_.is_stopped(), failing == 6) << failing;
    }
}

TEST_F(rollout_planner_test,
       upstreams_that_restart_at_old_weights_stop_the_rollout) {
    for (auto& upstream : upstreams_) {
        upstream.load = 1;
    }
    planner_.set_goal({.target = 2, .idle_weight = 1}, out_);
    std::set<std::size_t> crashed;
    for (int round = 0; round < 40; ++round, now_ += seconds(1)) {
        for (const std::size_t i : plan()) {
            // The upstream loads the version, crashes immediately and
            // restarts with its old version.
            planner_.swap_done(upstreams_[i].name, 2, now_);
            crashed.insert(i);
        }
    }
    EXPECT_TRUE(planner_.is_stopped());
    EXPECT_EQ(crashed.size(), 2U);
}

TEST_F(rollout_planner_test, late_report_of_the_swap_is_no_crash) {
    planner_.set_goal({.target = 2, .idle_weight = 0}, out_);
    ASSERT_EQ(swap_wave(), 4U);
    for (auto& upstream : upstreams_) {
        if (upstream.version == 2) {
            upstream.condition = upstream_condition::suspected;
        }
    }
    static_cast<void>(plan());
    EXPECT_FALSE(planner_.is_stopped());
    now_ += seconds(11);
    static_cast<void>(plan());
    EXPECT_TRUE(planner_.is_stopped());
    planner_.resume();
    EXPECT_FALSE(planner_.is_stopped());
}

/// For any loads, conditions and results, the capacity floor and the store's
/// limit are kept, no upstream gets a second order while one is pending, and
/// versions only increase.
RC_GTEST_FIXTURE_PROP(rollout_planner_test, any_run_keeps_floor_and_limit, ()) {
    const auto count = *rc::gen::inRange<std::size_t>(2, 40);
    const double floor = *rc::gen::inRange(0, 101) / 100.0;
    const auto fetches = *rc::gen::inRange<std::uint32_t>(0, 6);
    rollout_goal goal{.target = 2,
                      .capacity_floor = floor,
                      .idle_weight = *rc::gen::inRange(0, 101) / 100.0,
                      .fetches_at_once = fetches};
    upstreams_ = make_upstreams(count);
    planner_.set_goal(goal, out_);
    const auto must_stay =
        static_cast<std::size_t>(std::ceil(floor * static_cast<double>(count)));
    for (int step = 0; step < 60; ++step, now_ += seconds(1)) {
        auto& moved = upstreams_[*rc::gen::inRange<std::size_t>(0, count)];
        moved.load = *rc::gen::inRange(0, 101) / 100.0;
        moved.condition = static_cast<upstream_condition>(
            *rc::gen::weightedElement<int>({{8, 0}, {1, 1}, {1, 2}}));
        if (*rc::gen::inRange(0, 10) == 0) {
            ++goal.target;
            planner_.set_goal(goal, out_);
        }
        const auto serving = [&] {
            return static_cast<std::size_t>(std::count_if(
                upstreams_.begin(), upstreams_.end(), [](const auto& each) {
                    return !each.is_ordered &&
                           each.condition == upstream_condition::serving;
                }));
        };
        const std::size_t before = serving();
        for (const std::size_t i : plan()) {
            RC_ASSERT(!upstreams_[i].is_ordered);
            RC_ASSERT(upstreams_[i].version < goal.target);
            upstreams_[i].is_ordered = true;
        }
        if (serving() != before) {
            const bool is_one_at_a_time =
                before == count && serving() + 1 == count && floor < 1;
            RC_ASSERT(serving() >= must_stay || is_one_at_a_time);
        }
        const auto ordered = static_cast<std::size_t>(
            std::count_if(upstreams_.begin(), upstreams_.end(),
                          [](const auto& each) { return each.is_ordered; }));
        RC_ASSERT(fetches == 0 || ordered <= fetches);
        for (auto& upstream : upstreams_) {
            if (!upstream.is_ordered || *rc::gen::inRange(0, 3) != 0) {
                continue;
            }
            upstream.is_ordered = false;
            if (*rc::gen::inRange(0, 4) == 0) {
                planner_.swap_failed(
                    upstream.name,
                    static_cast<swap_failure>(*rc::gen::inRange(0, 2)), now_,
                    out_);
            } else {
                upstream.version = goal.target;
                planner_.swap_done(upstream.name, goal.target, now_);
            }
        }
    }
}

} // namespace savorydock
