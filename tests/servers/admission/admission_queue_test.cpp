#include "servers/admission/admission_queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <set>

namespace savorydock {

using std::chrono::milliseconds;
using std::chrono::seconds;

class admission_queue_test : public ::testing::Test {
protected:
    static constexpr admission_options options{.capacity = 10,
                                               .interactive_reserve = 0.2,
                                               .aging_limit = seconds(5),
                                               .aging_interval = 4};

    admission_queue_test()
        : queue_(options, classes_, callers_) {}

    outcome<admission_verdict> submit(const char* class_of_service,
                                      const char* caller = "t1",
                                      seconds patience = seconds(100)) {
        return queue_.submit({.ticket = ++ticket_,
                              .class_of_service = class_name(class_of_service),
                              .caller = caller_id(caller),
                              .deadline = now_ + patience},
                             now_);
    }

    const std::array<class_rule, 2> classes_{
        {{.name = class_name("batch"), .priority = 10, .queue_length = 300},
         {.name = class_name("prompt"),
          .priority = 1,
          .is_interactive = true,
          .queue_length = 50}}};
    const std::array<caller_rule, 2> callers_{
        {{.name = caller_id("t1"),
          .class_of_service = class_name("batch"),
          .weight = 1},
         {.name = caller_id("t2"),
          .class_of_service = class_name("batch"),
          .weight = 3}}};
    steady_time now_{seconds(1'000)};
    std::uint64_t ticket_ = 0;
    admission_queue queue_;
};

TEST_F(admission_queue_test, batch_flood_leaves_the_reserve_to_interactive) {
    for (int step = 0; step < 100; ++step) {
        ASSERT_TRUE(submit("batch"));
    }
    EXPECT_EQ(queue_.running(), 8U);
    EXPECT_EQ(*submit("prompt"), admission_verdict::granted);
    EXPECT_EQ(*submit("prompt"), admission_verdict::granted);
    EXPECT_EQ(*submit("prompt"), admission_verdict::queued);
    const auto change = queue_.release(1, now_);
    EXPECT_EQ(change.granted, std::vector{ticket_});
}

TEST_F(admission_queue_test, reserve_is_kept_when_capacity_falls) {
    for (int step = 0; step < 20; ++step) {
        ASSERT_TRUE(submit("batch"));
    }
    queue_.set_capacity(4);
    EXPECT_EQ(*submit("prompt"), admission_verdict::granted);
    EXPECT_TRUE(queue_.on_tick(now_).granted.empty());
}

TEST_F(admission_queue_test, callers_share_by_weight_and_use_idle_shares) {
    for (int step = 0; step < 8; ++step) {
        ASSERT_TRUE(submit("batch", "t1"));
    }
    std::map<std::uint64_t, const char*> owner;
    for (int step = 0; step < 80; ++step) {
        const char* const caller = step < 40 ? "t1" : "t2";
        ASSERT_TRUE(submit("batch", caller));
        owner[ticket_] = caller;
    }
    std::map<std::string, int> served;
    std::uint64_t release = 1;
    for (int step = 0; step < 40; ++step) {
        const auto change = queue_.release(release, now_);
        ASSERT_EQ(change.granted.size(), 1U);
        release = change.granted[0];
        ++served[owner.at(release)];
    }
    EXPECT_EQ(served["t1"], 10);
    EXPECT_EQ(served["t2"], 30);
    // Caller t2 has no more waiting requests, so t1 gets every grant.
    for (int step = 0; step < 30; ++step) {
        const auto change = queue_.release(release, now_);
        ASSERT_EQ(change.granted.size(), 1U);
        release = change.granted[0];
    }
}

TEST_F(admission_queue_test, full_queue_and_unmeetable_deadline_are_refused) {
    for (int step = 0; step < 8; ++step) {
        ASSERT_TRUE(submit("batch"));
    }
    now_ += seconds(10);
    static_cast<void>(queue_.release(1, now_));
    ASSERT_TRUE(submit("batch"));
    // A run takes 10 s and eight run at once, so 60 waiting requests would need
    // about 75 s and some must be refused.
    int queued = 0;
    for (int step = 0; step < 60; ++step) {
        const auto verdict = submit("batch", "t1", seconds(50));
        if (!verdict) {
            EXPECT_EQ(verdict.reason().code, result_code::not_run_overloaded);
            break;
        }
        ++queued;
    }
    EXPECT_GT(queued, 20);
    EXPECT_LT(queued, 40);
    EXPECT_TRUE(submit("batch", "t1", seconds(500)));
    for (int step = 0; step < 300; ++step) {
        static_cast<void>(submit("batch", "t1", seconds(5'000)));
    }
    EXPECT_EQ(queue_.waiting(class_name("batch")), 300U);
    EXPECT_EQ(submit("batch", "t1", seconds(5'000)).reason().code,
              result_code::not_run_overloaded);
}

TEST_F(admission_queue_test, waiting_past_the_deadline_is_reported_not_run) {
    for (int step = 0; step < 9; ++step) {
        ASSERT_TRUE(submit("batch", "t1", seconds(3)));
    }
    const auto change = queue_.on_tick(now_ + seconds(3));
    EXPECT_EQ(change.expired, std::vector{ticket_});
    EXPECT_FALSE(queue_.cancel(ticket_));
}

TEST_F(admission_queue_test, waiting_until_no_run_fits_is_reported_not_run) {
    for (int step = 0; step < 8; ++step) {
        ASSERT_TRUE(submit("batch"));
    }
    now_ += seconds(10);
    static_cast<void>(queue_.release(1, now_));
    ASSERT_TRUE(submit("batch"));
    ASSERT_TRUE(submit("batch", "t1", seconds(25)));
    // A run takes 10 s, so a request with a deadline in 25 s must start within
    // 15 s.
    EXPECT_TRUE(queue_.on_tick(now_ + seconds(14)).expired.empty());
    EXPECT_EQ(queue_.on_tick(now_ + seconds(15)).expired, std::vector{ticket_});
}

TEST_F(admission_queue_test, release_grants_nothing_that_would_be_late) {
    for (int step = 0; step < 8; ++step) {
        ASSERT_TRUE(submit("batch"));
    }
    ASSERT_TRUE(submit("batch", "t1", seconds(12)));
    const std::uint64_t late = ticket_;
    ASSERT_TRUE(submit("batch", "t1", seconds(60)));
    now_ += seconds(10);
    const auto change = queue_.release(1, now_);
    EXPECT_EQ(change.expired, std::vector{late});
    EXPECT_EQ(change.granted, std::vector{ticket_});
}

TEST_F(admission_queue_test, batch_progresses_under_an_interactive_flood) {
    for (int step = 0; step < 10; ++step) {
        ASSERT_TRUE(submit("prompt"));
    }
    ASSERT_TRUE(submit("batch"));
    const std::uint64_t batch = ticket_;
    std::set<std::uint64_t> granted;
    for (std::uint64_t step = 1; step <= 10; ++step) {
        ASSERT_TRUE(submit("prompt"));
    }
    now_ += seconds(4);
    for (std::uint64_t ticket = 1; ticket <= 5; ++ticket) {
        for (const auto got : queue_.release(ticket, now_).granted) {
            granted.insert(got);
        }
    }
    EXPECT_FALSE(granted.contains(batch));
    now_ += seconds(1);
    for (const auto got : queue_.release(6, now_).granted) {
        granted.insert(got);
    }
    EXPECT_TRUE(granted.contains(batch));
}

TEST_F(admission_queue_test, only_loaded_instance_gets_the_entire_capacity) {
    std::uint32_t own = 0;
    for (int report = 0; report < 8; ++report) {
        own = share_of_capacity(
            {.slots = 128, .load = own, .own_in_flight = own});
    }
    EXPECT_EQ(own, 128U);
    // In a full fleet an instance keeps the slots that it uses, and at least
    // one.
    EXPECT_EQ(
        share_of_capacity({.slots = 128, .load = 140, .own_in_flight = 40}),
        40U);
    EXPECT_EQ(share_of_capacity({.slots = 128, .load = 140}), 1U);
}

RC_GTEST_FIXTURE_PROP(admission_queue_test,
                      any_history_keeps_the_capacity_bounds, ()) {
    std::set<std::uint64_t> running;
    std::set<std::uint64_t> ended;
    const auto take = [&](const admission_change& change) {
        for (const auto ticket : change.granted) {
            RC_ASSERT(running.insert(ticket).second);
        }
        for (const auto ticket : change.expired) {
            RC_ASSERT(!running.contains(ticket));
            RC_ASSERT(ended.insert(ticket).second);
        }
    };
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        now_ += milliseconds(*rc::gen::inRange(0, 2'000));
        if (*rc::gen::inRange(0, 3) > 0) {
            const auto verdict = submit(*rc::gen::element("batch", "prompt"),
                                        *rc::gen::element("t1", "t2"),
                                        seconds(*rc::gen::inRange(1, 30)));
            if (verdict && *verdict == admission_verdict::granted) {
                RC_ASSERT(running.insert(ticket_).second);
            }
        } else if (!running.empty()) {
            const std::uint64_t ticket = *running.begin();
            running.erase(running.begin());
            take(queue_.release(ticket, now_));
        } else {
            take(queue_.on_tick(now_));
        }
        RC_ASSERT(queue_.running() == running.size());
        RC_ASSERT(running.size() <= options.capacity);
        // No interactive request waits while there is free capacity.
        RC_ASSERT(running.size() == options.capacity ||
                  queue_.waiting(class_name("prompt")) == 0);
    }
}

} // namespace savorydock
