#include "servers/delivery/crash_suspicion.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorydock {

using namespace std::chrono_literals;

namespace {

crash_suspicion make_suspicion(const char* self = "a") {
    return crash_suspicion({.self = instance_id(self),
                            .boot = "1",
                            .mark_lifetime = 60s,
                            .partition_upstreams = 3,
                            .partition_window = 2s});
}

lost_run lost(const char* upstream, const char* request,
              bool is_sole_suspect = false) {
    return {.service = service_name("s"),
            .upstream = upstream_id(upstream),
            .fingerprint = request,
            .is_sole_suspect = is_sole_suspect};
}

} // namespace

class crash_suspicion_test : public ::testing::Test {
protected:
    crash_suspicion here_ = make_suspicion("a");
    crash_suspicion there_ = make_suspicion("b");
    steady_time now_{1h};
};

TEST_F(crash_suspicion_test, two_losses_block_a_request_on_all_instances) {
    there_.merge(
        here_.record_loss({lost("u1", "bad"), lost("u1", "good")}, now_), now_);
    EXPECT_FALSE(there_.is_blocked("bad"));
    EXPECT_EQ(there_.view()->at("bad").excluded.front().text(), "u1");
    here_.merge(there_.record_loss({lost("u2", "bad", true)}, now_), now_);
    for (const auto* one : {&here_, &there_}) {
        EXPECT_TRUE(one->is_blocked("bad"));
        EXPECT_FALSE(one->is_blocked("good"));
    }
}

TEST_F(crash_suspicion_test, one_crash_seen_by_two_instances_counts_once) {
    there_.merge(here_.record_loss({lost("u1", "r")}, now_), now_);
    here_.merge(there_.record_loss({lost("u1", "r")}, now_), now_);
    EXPECT_FALSE(here_.is_blocked("r"));
    EXPECT_FALSE(there_.is_blocked("r"));
}

TEST_F(crash_suspicion_test,
       same_upstream_lost_again_with_sole_suspect_blocks) {
    static_cast<void>(here_.record_loss({lost("u1", "r")}, now_));
    static_cast<void>(here_.record_loss({lost("u1", "r", true)}, now_));
    EXPECT_TRUE(here_.is_blocked("r"));
}

TEST_F(crash_suspicion_test, cleared_marks_stay_cleared_and_new_ones_count) {
    const auto first = here_.record_loss({lost("u1", "r")}, now_);
    there_.merge(here_.clear("r", now_), now_);
    there_.merge(first, now_);
    EXPECT_TRUE(there_.view()->empty())
        << "a late mark of a cleared incident was added";
    there_.merge(here_.record_loss({lost("u2", "r")}, now_), now_);
    EXPECT_EQ(there_.view()->size(), 1U);
}

TEST_F(crash_suspicion_test, marks_expire_and_merging_does_not_renew_them) {
    auto mark = here_.record_loss({lost("u1", "r")}, now_);
    mark.marks.front().remaining = 24h;
    there_.merge(mark, now_);
    there_.expire(now_ + 59s);
    EXPECT_EQ(there_.view()->size(), 1U);
    there_.expire(now_ + 60s);
    EXPECT_TRUE(there_.view()->empty());
    there_.merge(mark, now_ + 60s);
    EXPECT_TRUE(there_.view()->empty());
}

TEST_F(crash_suspicion_test, many_upstreams_lost_at_once_are_a_partition) {
    there_.merge(here_.record_loss({lost("u1", "r1"), lost("u2", "r2")}, now_),
                 now_);
    EXPECT_EQ(there_.view()->size(), 2U);
    there_.merge(here_.record_loss({lost("u3", "r3")}, now_ + 1s), now_ + 1s);
    EXPECT_TRUE(here_.view()->empty());
    EXPECT_TRUE(there_.view()->empty());
}

TEST_F(crash_suspicion_test, one_request_common_to_all_losses_is_no_partition) {
    for (const char* const upstream : {"u1", "u2", "u3"}) {
        static_cast<void>(here_.record_loss(
            {lost(upstream, "bad"), lost(upstream, upstream)}, now_));
    }
    EXPECT_TRUE(here_.is_blocked("bad"));
}

RC_GTEST_PROP(crash_suspicion_property_test,
              updates_merge_the_same_in_any_order_and_number, ()) {
    crash_suspicion source = make_suspicion("a");
    const steady_time now{1h};
    std::vector<suspicion_update> updates;
    const auto script =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (const int action : script) {
        const std::string request = std::to_string(action % 3);
        if (action >= 9) {
            updates.push_back(source.clear(request, now));
        } else {
            const std::string upstream = "u" + std::to_string(action / 3);
            updates.push_back(source.record_loss(
                {lost(upstream.c_str(), request.c_str())}, now));
        }
    }
    crash_suspicion target = make_suspicion("b");
    for (int round = 0; round < 2; ++round) {
        std::vector<std::size_t> order(updates.size());
        for (std::size_t i = 0; i < order.size(); ++i) {
            order[i] = i;
        }
        const auto swaps = *rc::gen::container<std::vector<std::size_t>>(
            updates.size(),
            rc::gen::inRange<std::size_t>(0, updates.size() + 1));
        for (std::size_t i = 0; i < order.size(); ++i) {
            std::swap(order[i], order[swaps[i] % order.size()]);
        }
        for (const std::size_t i : order) {
            target.merge(updates[i], now);
        }
    }
    const auto expected = source.view();
    RC_ASSERT(expected->size() == target.view()->size());
    for (const auto& [request, entry] : *expected) {
        RC_ASSERT(target.is_blocked(request) == entry.is_blocked);
        RC_ASSERT(target.view()->at(request).excluded.size() ==
                  entry.excluded.size());
    }
}

} // namespace savorydock
