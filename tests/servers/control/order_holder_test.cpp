#include "tests/servers/control/order_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorydock {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class order_holder_test : public ::testing::Test {
protected:
    void start(std::size_t nodes) {
        world_ = std::make_unique<order_world>(nodes);
        world_->add_upstream("checks", true);
        world_->add_upstream("ignores", false);
        world_->set_target(2);
    }
    world_upstream& upstream(const char* name) {
        return world_->upstreams.at(upstream_id(name));
    }
    /// Until a successor orders upstreams that ignore fencing.
    [[nodiscard]] milliseconds wait_out() const {
        return world_->options.lease_time + world_->options.longest_order;
    }

    std::unique_ptr<order_world> world_;
};

TEST_F(order_holder_test, lone_holder_brings_all_to_the_target) {
    start(1);
    const steady_time begin = world_->now;
    world_->run(minutes(2));
    EXPECT_TRUE(world_->are_all_at(2));
    const auto key = world_->store.find("/savorydock/holders/fleet/s");
    ASSERT_TRUE(key);
    EXPECT_EQ(upstream("checks").fencing, key->created);
    EXPECT_LT(upstream("checks").ordered_at.at(0) - begin, seconds(5));
    EXPECT_GE(upstream("ignores").ordered_at.at(0) - begin, wait_out());
    EXPECT_EQ(world_->orders, 2U);
}

TEST_F(order_holder_test, standby_takes_over_and_costs_one_call_a_survey) {
    start(3);
    world_->is_ranked = true;
    world_->run(minutes(2));
    std::vector<std::uint64_t> before;
    for (const auto& node : world_->nodes) {
        before.push_back(node.holder->platform_calls());
    }
    world_->run(minutes(10));
    const auto calls = [&](std::size_t node) {
        return world_->nodes[node].holder->platform_calls() - before[node];
    };
    RecordProperty("holder_calls", static_cast<int>(calls(0)));
    RecordProperty("standby_calls", static_cast<int>(calls(1)));
    const std::uint64_t surveys = minutes(10) / world_->options.survey_period;
    EXPECT_LE(calls(0), 2 * surveys);
    EXPECT_LE(calls(1), surveys);
    EXPECT_EQ(calls(2), 0U);
    world_->nodes[0].is_stopped = true;
    world_->run(seconds(45));
    EXPECT_NE(world_->nodes[1].holder->status()[0].fencing, 0U);
    EXPECT_EQ(world_->nodes[2].holder->platform_calls(), 0U);
}

struct call_row {
    const char* name;
    std::size_t kind;
    call_fault fault;
};

TEST_F(order_holder_test, faulty_platform_answers_leave_one_holder) {
    const std::size_t read = 0;
    const std::size_t swap = 1;
    const std::size_t grant = 2;
    const std::size_t keep = 3;
    using enum call_fault;
    const call_row rows[] = {
        {"swap answer lost", swap, lost_answer},
        {"swap lost", swap, lost_call},
        {"swap slow", swap, slow},
        {"read answer lost", read, lost_answer},
        {"read slow", read, slow},
        {"grant answer lost", grant, lost_answer},
        {"grant slow", grant, slow},
        {"keep answer lost", keep, lost_answer},
        {"keep lost", keep, lost_call},
    };
    for (const call_row& row : rows) {
        start(3);
        std::uint32_t left = 2;
        world_->next_call_fault = [&](const platform_request& request) {
            if (request.index() != row.kind || left == 0) {
                return none;
            }
            --left;
            return row.fault;
        };
        world_->run(minutes(3));
        EXPECT_EQ(left, 0U) << row.name;
        EXPECT_EQ(world_->holders(), 1U) << row.name;
        EXPECT_TRUE(world_->are_all_at(2)) << row.name;
        EXPECT_EQ(world_->orders, 2U) << row.name;
    }
}

TEST_F(order_holder_test, platform_out_for_an_hour_stops_orders_only) {
    start(2);
    world_->run(minutes(2));
    const auto orders = world_->orders;
    world_->is_platform_out = true;
    world_->run(seconds(15));
    EXPECT_EQ(world_->holders(), 0U);
    world_->set_target(3);
    world_->run(minutes(60));
    EXPECT_EQ(world_->orders, orders);
    EXPECT_TRUE(world_->are_all_at(2));
    world_->is_platform_out = false;
    world_->run(minutes(2));
    EXPECT_TRUE(world_->are_all_at(3));
    EXPECT_EQ(world_->holders(), 1U);
}

TEST_F(order_holder_test, order_decided_before_a_pause_is_dropped_after_it) {
    start(1);
    world_->run(minutes(2));
    const fencing_number old = upstream("checks").ordered_by.at(0);
    world_->set_target(3);
    world_->run(order_world::step);
    // The orders now lie in the outbox.
    world_->pause(0, seconds(20));
    world_->run(minutes(3));
    EXPECT_TRUE(world_->are_all_at(3));
    for (const char* const name : {"checks", "ignores"}) {
        ASSERT_EQ(upstream(name).ordered_by.size(), 2U) << name;
        EXPECT_GT(upstream(name).ordered_by[1], old) << name;
    }
}

TEST_F(order_holder_test, successor_waits_out_what_may_be_on_its_way) {
    start(2);
    world_->run(minutes(2));
    ASSERT_EQ(world_->holders(), 1U);
    const std::size_t first =
        world_->nodes[0].holder->status()[0].fencing != 0 ? 0 : 1;
    const steady_time paused_at = world_->now;
    world_->pause(first, minutes(4));
    world_->set_target(3);
    world_->run(minutes(3));
    EXPECT_TRUE(world_->are_all_at(3));
    const auto lease = world_->options.lease_time;
    EXPECT_GE(upstream("ignores").ordered_at.back() - paused_at, wait_out());
    EXPECT_LT(upstream("checks").ordered_at.back() - paused_at,
              lease + seconds(15));
    world_->run(minutes(3));
    EXPECT_EQ(world_->holders(), 1U);
    EXPECT_EQ(world_->orders, 4U);
}

TEST_F(order_holder_test, lost_order_is_resolved_before_the_next_one) {
    start(1);
    world_->run(minutes(2));
    bool is_first = true;
    world_->next_order_fault = [&](const upstream_order& order) {
        const bool is_late = order.upstream.text() == "ignores" && is_first;
        is_first = is_first && !is_late;
        return is_late ? order_fault::late : order_fault::none;
    };
    world_->set_target(3);
    world_->run(seconds(2));
    world_->set_target(4);
    world_->run(minutes(2));
    EXPECT_TRUE(world_->are_all_at(4));
    EXPECT_EQ(world_->overtaken(), 0U);
    const auto& times = upstream("ignores").ordered_at;
    ASSERT_EQ(times.size(), 3U);
    EXPECT_GE(times[2] - times[1], world_->options.longest_order);
}

TEST_F(order_holder_test, upstream_that_saw_a_newer_holder_is_left_alone) {
    start(1);
    world_->run(minutes(2));
    upstream("checks").fencing = 1'000'000;
    world_->set_target(3);
    world_->run(minutes(5));
    EXPECT_EQ(upstream("checks").version, 2U);
    EXPECT_EQ(upstream("checks").ordered_at.size(), 2U);
    EXPECT_EQ(upstream("ignores").version, 3U);
}

TEST_F(order_holder_test, newer_number_seen_in_read_back_forbids_orders) {
    start(1);
    upstream("checks").fencing = 1'000'000;
    world_->run(minutes(5));
    EXPECT_TRUE(upstream("checks").ordered_at.empty());
}

TEST_F(order_holder_test, lost_order_that_still_loads_is_waited_for) {
    start(1);
    world_->run(minutes(2));
    world_->late_delivery = milliseconds(31'500);
    world_->next_order_fault = [](const auto&) { return order_fault::late; };
    world_->set_target(3);
    world_->run(minutes(2));
    EXPECT_TRUE(world_->are_all_at(3));
    EXPECT_EQ(upstream("ignores").ordered_at.size(), 2U);
}

TEST_F(order_holder_test, restarted_instance_does_not_take_its_old_key) {
    start(1);
    world_->run(minutes(2));
    const fencing_number old = upstream("checks").ordered_by.at(0);
    world_->restart(0);
    world_->set_target(3);
    world_->run(seconds(8));
    EXPECT_EQ(world_->holders(), 0U);
    world_->run(minutes(2));
    EXPECT_TRUE(world_->are_all_at(3));
    EXPECT_GT(upstream("checks").ordered_by.at(1), old);
}

TEST_F(order_holder_test, same_number_held_again_waits_for_all) {
    start(1);
    world_->run(minutes(2));
    bool is_renewing = false;
    world_->next_call_fault = [&](const platform_request& request) {
        is_renewing = std::holds_alternative<keep_lease>(request);
        return call_fault::none;
    };
    while (!is_renewing) {
        world_->run(order_world::step);
    }
    world_->run(order_world::step * 2);
    const auto fencing = upstream("checks").fencing;
    const steady_time paused_at = world_->now;
    // Past the lease by the holder's reckoning, not yet by the platform's.
    world_->pause(0, milliseconds(13'200));
    world_->set_target(3);
    world_->run(minutes(2));
    EXPECT_EQ(upstream("checks").fencing, fencing);
    EXPECT_GE(upstream("checks").ordered_at.back() - paused_at, wait_out());
}

TEST_F(order_holder_test, drained_holder_hands_over_after_its_last_order) {
    start(2);
    world_->run(minutes(2));
    const std::size_t first =
        world_->nodes[0].holder->status()[0].fencing != 0 ? 0 : 1;
    world_->set_target(3);
    world_->run(seconds(1));
    world_->nodes[first].holder->begin_drain();
    world_->run(seconds(1));
    EXPECT_EQ(world_->holders(), 1U);
    world_->run(seconds(13));
    EXPECT_TRUE(world_->are_all_at(3));
    EXPECT_NE(world_->nodes[1 - first].holder->status()[0].fencing, 0U);
}

TEST_F(order_holder_test, upstream_that_swaps_half_way_is_ordered_again) {
    start(1);
    world_->run(minutes(2));
    upstream("checks").swaps_to_fail = 2;
    world_->set_target(3);
    world_->run(minutes(1));
    EXPECT_TRUE(world_->are_all_at(3));
    EXPECT_EQ(upstream("checks").ordered_at.size(), 4U);
}

TEST_F(order_holder_test, upstream_found_at_an_old_version_is_repaired) {
    start(1);
    world_->run(minutes(2));
    // As an order does that lay in a buffer beyond the bound.
    upstream("ignores").version = 1;
    world_->run(world_->options.refresh_period + seconds(15));
    EXPECT_TRUE(world_->are_all_at(2));
}

/// Whatever is lost, late, doubled or paused: no order takes effect after a
/// newer one, and once faults cease every upstream reaches the target.
RC_GTEST_FIXTURE_PROP(order_holder_test, no_order_overtakes_a_newer_one, ()) {
    start(3);
    world_->add_upstream("ignores too", false);
    weight_version target = 2;
    const auto chance = [](int percent) {
        return *rc::gen::inRange(0, 100) < percent;
    };
    world_->next_call_fault = [&](const platform_request&) {
        return chance(15) ? static_cast<call_fault>(*rc::gen::inRange(1, 4))
                          : call_fault::none;
    };
    world_->next_order_fault = [&](const upstream_order&) {
        world_->late_delivery = milliseconds(*rc::gen::inRange(0, 29'000));
        return chance(40) ? static_cast<order_fault>(*rc::gen::inRange(1, 4))
                          : order_fault::none;
    };
    for (int round = 0; round < 40; ++round) {
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
        case 1:
            world_->pause(*rc::gen::inRange<std::size_t>(0, 3),
                          milliseconds(*rc::gen::inRange(0, 90'000)));
            break;
        case 2:
            world_->is_platform_out = chance(30);
            break;
        case 3:
            upstream("checks").swaps_to_fail = 1;
            break;
        default:
            world_->set_target(++target);
            break;
        }
        world_->run(milliseconds(*rc::gen::inRange(0, 40'000)));
        RC_ASSERT(world_->overtaken() == 0U);
    }
    world_->next_call_fault = [](const auto&) { return call_fault::none; };
    world_->next_order_fault = [](const auto&) { return order_fault::none; };
    world_->is_platform_out = false;
    world_->set_target(++target);
    world_->run(minutes(5));
    RC_ASSERT(world_->overtaken() == 0U);
    RC_ASSERT(world_->are_all_at(target));
    RC_ASSERT(world_->holders() == 1U);
}

} // namespace savorydock
