#include "servers/fleet/limit_sharing.hpp"
#include "servers/fleet/upstream_limits.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

/// Several instances that send to one upstream_, each as often as its part of
/// the limit allows.
class limited_fleet {
public:
    explicit limited_fleet(std::size_t instances) {
        for (std::size_t i = 0; i < instances; ++i) {
            const instance_id self("i" + std::to_string(i));
            senders_.push_back(std::make_unique<sender>(self));
        }
        for (const auto& one : senders_) {
            for (std::size_t i = 0; i < instances; ++i) {
                one->sharing.on_instance_added(
                    instance_id("i" + std::to_string(i)));
            }
        }
    }

    void name_limit(std::optional<double> limit, steady_time now) {
        for (const auto& one : senders_) {
            one->limits.on_answer(upstream_, limit, now);
        }
    }

    /// Lets every instance send all that it may; returns how much that is.
    std::size_t send_all(steady_time now) {
        std::size_t sent = 0;
        for (const auto& one : senders_) {
            while (one->limits.next_send_time(upstream_, now) == now) {
                one->limits.reserve(upstream_, now);
                ++sent;
            }
        }
        return sent;
    }

private:
    struct sender {
        explicit sender(const instance_id& self)
            : sharing({.self = self})
            , limits(
                  [this](const upstream_id& id, double limit, steady_time now) {
                      return sharing.part_of(id, limit, now);
                  }) {}
        limit_sharing sharing;
        upstream_limits limits;
    };

    upstream_id upstream_{"u"};
    std::vector<std::unique_ptr<sender>> senders_;
};

} // namespace

class upstream_limits_test : public ::testing::Test {
public:
    upstream_id upstream{"u"};
    steady_time now{1h};
    upstream_limits limits{[](const upstream_id&, double limit, steady_time) {
        return limit_part{.requests_per_second = limit, .burst = limit};
    }};
};

TEST_F(upstream_limits_test, without_a_limit_requests_are_sent_at_once) {
    limits.on_answer(upstream, std::nullopt, now);
    for (int request = 0; request < 100; ++request) {
        EXPECT_EQ(limits.next_send_time(upstream, now), now);
        limits.reserve(upstream, now);
    }
}

TEST_F(upstream_limits_test, requests_above_the_limit_wait_in_turn) {
    EXPECT_TRUE(limits.on_answer(upstream, 2, now));
    std::vector<std::chrono::milliseconds> waits;
    for (int request = 0; request < 4; ++request) {
        const auto at = limits.next_send_time(upstream, now);
        waits.push_back(
            std::chrono::duration_cast<std::chrono::milliseconds>(at - now));
        limits.reserve(upstream, now);
    }
    EXPECT_EQ(waits, (std::vector<std::chrono::milliseconds>{0ms, 0ms, 500ms,
                                                             1000ms}));
}

TEST_F(upstream_limits_test, lifted_limit_no_longer_applies) {
    limits.on_answer(upstream, 0.5, now);
    limits.reserve(upstream, now);
    EXPECT_NE(limits.next_send_time(upstream, now), now);
    EXPECT_TRUE(limits.on_answer(upstream, std::nullopt, now));
    EXPECT_EQ(limits.next_send_time(upstream, now), now);
}

TEST_F(upstream_limits_test, older_answer_changes_nothing) {
    limits.on_answer(upstream, std::nullopt, now);
    limits.on_answer(upstream, 2, now);
    EXPECT_FALSE(limits.on_answer(upstream, std::nullopt, now - 1ms));
    EXPECT_EQ(limits.limit_of(upstream), 2);
}

TEST_F(upstream_limits_test, repeated_answers_do_not_refill_the_bucket) {
    limits.on_answer(upstream, 1, now);
    limits.reserve(upstream, now);
    for (int answer = 0; answer < 9; ++answer) {
        now += 100ms;
        limits.on_answer(upstream, 1, now);
        EXPECT_NE(limits.next_send_time(upstream, now), now);
    }
}

class limit_sharing_test : public ::testing::TestWithParam<std::size_t> {};

// Load: all instances have more requests than their parts allow, all the time.
TEST_P(limit_sharing_test, instances_together_stay_within_the_limit) {
    for (const double limit : {0.3, 1.9, 4.0, 20.0, 150.0}) {
        limited_fleet fleet(GetParam());
        steady_time now{1h};
        constexpr std::size_t steps_in_window = 400;
        std::vector<std::size_t> sent;
        std::size_t total = 0;
        for (std::size_t step = 0; step < 4 * steps_in_window; ++step) {
            fleet.name_limit(limit, now);
            sent.push_back(fleet.send_all(now));
            total += sent.back();
            now += 10ms;
        }
        for (std::size_t from = 0; from + steps_in_window <= sent.size();
             ++from) {
            std::size_t in_window = 0;
            for (std::size_t step = from; step < from + steps_in_window;
                 ++step) {
                in_window += sent[step];
            }
            ASSERT_LE(static_cast<double>(in_window), 1.5 * 4 * limit + 5)
                << "limit " << limit << " from step " << from;
        }
        EXPECT_GE(static_cast<double>(total), 0.95 * 16 * limit)
            << "limit " << limit;
    }
}

INSTANTIATE_TEST_SUITE_P(instances, limit_sharing_test,
                         ::testing::Values(1, 2, 8, 30, 300));

TEST_F(upstream_limits_test, lapsed_entries_of_instances_are_still_counted) {
    limit_sharing sharing({.self = instance_id("a")});
    sharing.on_instance_added(instance_id("b"));
    sharing.on_instance_added(instance_id("c"));
    const double part = sharing.part_of(upstream, 9, now).requests_per_second;
    EXPECT_EQ(part, 3);
    sharing.on_instance_removed(instance_id("b"), now);
    EXPECT_EQ(sharing.part_of(upstream, 9, now + 14s).requests_per_second, 3);
    EXPECT_EQ(sharing.part_of(upstream, 9, now + 15s).requests_per_second, 4.5);
}

// Load: most instances use no part of the limit, and the upstream lifts it.
TEST_F(upstream_limits_test, every_instance_notices_that_a_limit_was_lifted) {
    limited_fleet fleet(8);
    fleet.name_limit(0, now);
    fleet.send_all(now);
    // Eight instances share one probe in ten seconds.
    std::size_t probes = 0;
    for (int second = 1; second <= 100; ++second) {
        now += 1s;
        probes += fleet.send_all(now);
    }
    EXPECT_GE(probes, 8U);
    EXPECT_LE(probes, 25U);
}
