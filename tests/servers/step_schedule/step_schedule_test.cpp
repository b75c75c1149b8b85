#include "servers/step_schedule/step_schedule.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>

namespace savorydock {

using std::chrono::seconds;

class step_schedule_test : public ::testing::Test {
protected:
    static constexpr std::array<std::uint64_t, 3> prefixes{11, 22, 33};

    step_schedule_test() {
        for (int sample = 0; sample < 8; ++sample) {
            lengths_.learn(11, 100);
            lengths_.learn(22, 2'400);
            lengths_.learn(33, 500);
        }
        // One version every 100 s; the newest has just arrived.
        forecast_.observe(1, now_ - seconds(100));
        forecast_.observe(2, now_);
    }

    step_schedule make(double idle_weight, std::uint32_t bound = 1) {
        return {{.group_size = 2,
                 .staleness_bound = bound,
                 .idle_weight = idle_weight,
                 .hedge_budget = 0.1},
                prefixes,
                lengths_,
                forecast_};
    }

    /// Starts every slot and runs it for `time`. `slow` generates `slow_pace`
    /// tokens per second, all others 30.
    void run_all(step_schedule& schedule, slot_place slow, double slow_pace,
                 seconds time, weight_version version = 2) {
        while (const auto start = schedule.next(now_)) {
            schedule.begin({start->slot, 1}, version, now_);
            schedule.progress({start->slot, 1}, 1, now_);
            started_.push_back(start->slot);
        }
        now_ += time;
        for (const slot_place slot : started_) {
            const double pace = slot == slow ? slow_pace : 30;
            schedule.progress({slot, 1},
                              1 + static_cast<std::uint32_t>(
                                      pace * static_cast<double>(time.count())),
                              now_);
        }
    }

    steady_time now_{seconds(10'000)};
    length_estimator lengths_;
    weights_forecast forecast_;
    std::vector<slot_place> started_;
};

TEST_F(step_schedule_test, longest_group_starts_first) {
    auto schedule = make(1);
    std::vector<std::uint32_t> groups;
    while (const auto start = schedule.next(now_)) {
        groups.push_back(start->slot.group);
    }
    EXPECT_EQ(groups, (std::vector<std::uint32_t>{1, 1, 2, 2, 0, 0}));
}

TEST_F(step_schedule_test,
       run_that_would_exceed_staleness_bound_waits_for_weights) {
    // 2,400 tokens take 80 s at the default pace. With a bound of 0 a run
    // stays within the bound only if it starts right after new weights.
    now_ += seconds(50);
    auto staleness_first = make(0, 0);
    EXPECT_EQ(staleness_first.next(now_)->slot.group, 2U);
    auto idle_time_first = make(1, 0);
    EXPECT_EQ(idle_time_first.next(now_)->slot.group, 1U);
}

TEST_F(step_schedule_test, idle_weight_sets_minimum_start_version) {
    EXPECT_EQ(make(0, 3).next(now_)->minimum_version, 2U);
    EXPECT_EQ(make(1, 3).next(now_)->minimum_version, 0U);
    EXPECT_EQ(make(0.3, 3).next(now_)->minimum_version, 1U);
}

TEST_F(step_schedule_test, slow_run_is_resumed_elsewhere_twice_at_most) {
    auto schedule = make(1);
    const slot_place slow{1, 0};
    run_all(schedule, slow, 5, seconds(10));
    for (std::uint32_t run = 1; run <= 3; ++run) {
        const auto actions = schedule.review(now_);
        if (run == 3) {
            EXPECT_TRUE(actions.empty());
            break;
        }
        ASSERT_EQ(actions.size(), 1U);
        EXPECT_EQ(actions[0].kind, straggler_kind::resume_elsewhere);
        EXPECT_EQ(actions[0].run, (run_key{slow, run}));
        schedule.begin({slow, run + 1}, 2, now_);
        schedule.progress({slow, run + 1}, 50 * run, now_);
        now_ += seconds(4);
        for (const slot_place slot : started_) {
            schedule.progress({slot, 1}, 300 + 120 * run, now_);
        }
        schedule.progress({slow, run + 1}, 50 * run + 20, now_);
    }
}

TEST_F(step_schedule_test, stalled_runs_are_hedged_within_the_budget) {
    auto schedule = make(1);
    run_all(schedule, {1, 0}, 30, seconds(4));
    now_ += seconds(6);
    // The hedge budget is a tenth of six slots, rounded up: one run.
    const auto actions = schedule.review(now_);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].kind, straggler_kind::hedge);
    EXPECT_TRUE(schedule.review(now_).empty());
    const slot_place slot = actions[0].run.slot;
    schedule.begin({slot, 2}, 2, now_);
    schedule.remove_run({slot, 1});
    EXPECT_EQ(schedule.waiting(), 0U);
    schedule.remove_run({slot, 2});
    EXPECT_EQ(schedule.waiting(), 1U);
}

TEST_F(step_schedule_test, silence_during_known_swap_triggers_no_action) {
    auto schedule = make(1);
    run_all(schedule, {1, 0}, 30, seconds(4));
    for (int second = 0; second < 12; ++second) {
        now_ += seconds(1);
        for (const slot_place slot : started_) {
            schedule.exclude_pause({slot, 1}, now_);
        }
        EXPECT_TRUE(schedule.review(now_).empty());
    }
    now_ += seconds(6);
    EXPECT_EQ(schedule.review(now_).size(), 1U);
}

TEST_F(step_schedule_test,
       run_past_staleness_bound_restarts_at_any_idle_weight) {
    for (const double weight : {0.0, 1.0}) {
        auto schedule = make(weight);
        started_.clear();
        run_all(schedule, {1, 0}, 30, seconds(4));
        EXPECT_TRUE(schedule.review(now_).empty());
        weights_forecast saved = forecast_;
        forecast_.observe(4, now_);
        EXPECT_EQ(schedule.review(now_).size(), 6U);
        EXPECT_EQ(schedule.waiting(), 6U);
        forecast_ = saved;
    }
}

TEST_F(step_schedule_test,
       predicted_staleness_restarts_run_unless_only_idle_time_counts) {
    struct row {
        double weight;
        weight_version version;
        straggler_kind kind;
    };
    // At 5 tokens per second the 2,400 tokens take 480 s, in which four
    // versions arrive. A new run helps only if newer weights are available.
    for (const row& expected : {row{0, 1, straggler_kind::restart},
                                row{1, 1, straggler_kind::resume_elsewhere},
                                row{0, 2, straggler_kind::resume_elsewhere}}) {
        auto schedule = make(expected.weight);
        started_.clear();
        run_all(schedule, {1, 0}, 5, seconds(10), expected.version);
        const auto actions = schedule.review(now_);
        ASSERT_FALSE(actions.empty());
        EXPECT_EQ(actions[0].kind, expected.kind);
        EXPECT_EQ(actions[0].run.slot, (slot_place{1, 0}));
        now_ -= seconds(10);
    }
}

RC_GTEST_FIXTURE_PROP(step_schedule_test, every_slot_finishes_exactly_once,
                      ()) {
    auto schedule = make(*rc::gen::element(0.0, 0.5, 1.0));
    std::map<slot_place, std::uint32_t> runs;
    std::vector<run_key> running;
    std::uint32_t done = 0;
    for (int step = 0; !schedule.is_done(); ++step) {
        RC_ASSERT(step < 1'000);
        now_ += seconds(1);
        if (const auto start = schedule.next(now_)) {
            const run_key run{start->slot, ++runs[start->slot]};
            schedule.begin(run, forecast_.newest(), now_);
            running.push_back(run);
        }
        for (const auto& action : schedule.review(now_)) {
            if (action.kind == straggler_kind::restart) {
                std::erase(running, action.run);
                continue;
            }
            if (action.kind == straggler_kind::resume_elsewhere) {
                std::erase(running, action.run);
            }
            const run_key next{action.run.slot, ++runs[action.run.slot]};
            schedule.begin(next, forecast_.newest(), now_);
            running.push_back(next);
        }
        if (running.empty()) {
            continue;
        }
        const auto at = *rc::gen::inRange<std::size_t>(0, running.size());
        const run_key run = running[at];
        // Runs fail at random only in the first 300 steps, so that the schedule
        // can finish.
        switch (step < 300 ? *rc::gen::inRange(0, 3) : 2) {
        case 0:
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
            schedule.remove_run(run);
            break;
        case 1:
            schedule.progress(run, static_cast<std::uint32_t>(step), now_);
            break;
        default:
            schedule.finish(run.slot);
            std::erase_if(running, [&](const auto& other) {
                return other.slot == run.slot;
            });
            ++done;
        }
        RC_ASSERT(schedule.running() == running.size());
    }
    RC_ASSERT(done == 6U);
    RC_ASSERT(schedule.waiting() == 0U);
}

} // namespace savorydock
