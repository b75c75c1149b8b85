#include "tests/servers/control/order_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorydock {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class order_server_test : public ::testing::Test {
protected:
    void start(std::size_t nodes) {
        simulation_ = std::make_unique<order_simulation>(nodes);
        simulation_->add_upstream("checks", true);
        simulation_->add_upstream("ignores", false);
        simulation_->set_target(2);
    }
    simulated_upstream& upstream(const char* name) {
        return simulation_->upstreams.at(upstream_id(name));
    }
    /// How long a new holder waits before it sends orders to upstreams that
    /// don't check fencing.
    [[nodiscard]] milliseconds successor_wait() const {
        return simulation_->options.lease_time +
               simulation_->options.longest_order;
    }

    std::unique_ptr<order_simulation> simulation_;
};

TEST_F(order_server_test, single_holder_moves_all_to_the_target) {
    start(1);
    const steady_time begin = simulation_->now;
    simulation_->run(minutes(2));
    EXPECT_TRUE(simulation_->are_all_at(2));
    const auto key = simulation_->store.find("/savorydock/holders/fleet/s");
    ASSERT_TRUE(key);
    EXPECT_EQ(upstream("checks").fencing, key->created);
    EXPECT_LT(upstream("checks").ordered_at.at(0) - begin, seconds(5));
    EXPECT_GE(upstream("ignores").ordered_at.at(0) - begin, successor_wait());
    EXPECT_EQ(simulation_->orders, 2U);
}

TEST_F(order_server_test, standby_takes_over_and_costs_one_call_per_poll) {
    start(3);
    simulation_->is_ranked = true;
    simulation_->run(minutes(2));
    std::vector<std::uint64_t> before;
    for (const auto& node : simulation_->nodes) {
        before.push_back(node.server->platform_calls());
    }
    simulation_->run(minutes(10));
    const auto calls = [&](std::size_t node) {
        return simulation_->nodes[node].server->platform_calls() - before[node];
    };
    RecordProperty("holder_calls", static_cast<int>(calls(0)));
    RecordProperty("standby_calls", static_cast<int>(calls(1)));
    const std::uint64_t polls =
        minutes(10) / simulation_->options.key_poll_period;
    EXPECT_LE(calls(0), 2 * polls);
    EXPECT_LE(calls(1), polls);
    EXPECT_EQ(calls(2), 0U);
    simulation_->nodes[0].is_stopped = true;
    simulation_->run(seconds(45));
    EXPECT_NE(simulation_->nodes[1].server->status()[0].fencing, 0U);
    EXPECT_EQ(simulation_->nodes[2].server->platform_calls(), 0U);
}

struct call_fault_case {
    const char* name;
    std::size_t kind;
    call_fault fault;
};

TEST_F(order_server_test, faulty_platform_answers_leave_one_holder) {
    const std::size_t read = 0;
    const std::size_t swap = 1;
    const std::size_t grant = 2;
    const std::size_t renew = 3;
    using enum call_fault;
    const call_fault_case test_cases[] = {
        {"swap answer lost", swap, lost_answer},
        {"swap lost", swap, lost_call},
        {"swap slow", swap, slow},
        {"read answer lost", read, lost_answer},
        {"read slow", read, slow},
        {"grant answer lost", grant, lost_answer},
        {"grant slow", grant, slow},
        {"renewal answer lost", renew, lost_answer},
        {"renewal lost", renew, lost_call},
    };
    for (const call_fault_case& test_case : test_cases) {
        start(3);
        std::uint32_t left = 2;
        simulation_->next_call_fault = [&](const platform_request& request) {
            if (request.index() != test_case.kind || left == 0) {
                return none;
            }
            --left;
            return test_case.fault;
        };
        simulation_->run(minutes(3));
        EXPECT_EQ(left, 0U) << test_case.name;
        EXPECT_EQ(simulation_->holders(), 1U) << test_case.name;
        EXPECT_TRUE(simulation_->are_all_at(2)) << test_case.name;
        EXPECT_EQ(simulation_->orders, 2U) << test_case.name;
    }
}

TEST_F(order_server_test, platform_unreachable_for_an_hour_stops_orders_only) {
    start(2);
    simulation_->run(minutes(2));
    const auto orders = simulation_->orders;
    simulation_->is_platform_unreachable = true;
    simulation_->run(seconds(15));
    EXPECT_EQ(simulation_->holders(), 0U);
    simulation_->set_target(3);
    simulation_->run(minutes(60));
    EXPECT_EQ(simulation_->orders, orders);
    EXPECT_TRUE(simulation_->are_all_at(2));
    simulation_->is_platform_unreachable = false;
    simulation_->run(minutes(2));
    EXPECT_TRUE(simulation_->are_all_at(3));
    EXPECT_EQ(simulation_->holders(), 1U);
}

TEST_F(order_server_test, order_decided_before_a_pause_is_dropped_after_it) {
    start(1);
    simulation_->run(minutes(2));
    const fencing_number old = upstream("checks").ordered_by.at(0);
    simulation_->set_target(3);
    simulation_->run(order_simulation::step);
    // The orders are now in the outbox.
    simulation_->pause(0, seconds(20));
    simulation_->run(minutes(3));
    EXPECT_TRUE(simulation_->are_all_at(3));
    for (const char* const name : {"checks", "ignores"}) {
        ASSERT_EQ(upstream(name).ordered_by.size(), 2U) << name;
        EXPECT_GT(upstream(name).ordered_by[1], old) << name;
    }
}

TEST_F(order_server_test, successor_waits_until_earlier_orders_cannot_arrive) {
    start(2);
    simulation_->run(minutes(2));
    ASSERT_EQ(simulation_->holders(), 1U);
    const std::size_t first =
        simulation_->nodes[0].server->status()[0].fencing != 0 ? 0 : 1;
    const steady_time paused_at = simulation_->now;
    simulation_->pause(first, minutes(4));
    simulation_->set_target(3);
    simulation_->run(minutes(3));
    EXPECT_TRUE(simulation_->are_all_at(3));
    const auto lease = simulation_->options.lease_time;
    EXPECT_GE(upstream("ignores").ordered_at.back() - paused_at,
              successor_wait());
    EXPECT_LT(upstream("checks").ordered_at.back() - paused_at,
              lease + seconds(15));
    simulation_->run(minutes(3));
    EXPECT_EQ(simulation_->holders(), 1U);
    EXPECT_EQ(simulation_->orders, 4U);
}

TEST_F(order_server_test, lost_order_is_resolved_before_the_next_one) {
    start(1);
    simulation_->run(minutes(2));
    bool is_first = true;
    simulation_->next_order_fault = [&](const upstream_order& order) {
        const bool is_late = order.upstream.text() == "ignores" && is_first;
        is_first = is_first && !is_late;
        return is_late ? order_fault::late : order_fault::none;
    };
    simulation_->set_target(3);
    simulation_->run(seconds(2));
    simulation_->set_target(4);
    simulation_->run(minutes(2));
    EXPECT_TRUE(simulation_->are_all_at(4));
    EXPECT_EQ(simulation_->overtaken(), 0U);
    const auto& times = upstream("ignores").ordered_at;
    ASSERT_EQ(times.size(), 3U);
    EXPECT_GE(times[2] - times[1], simulation_->options.longest_order);
}

TEST_F(order_server_test, upstream_that_saw_a_newer_holder_is_left_alone) {
    start(1);
    simulation_->run(minutes(2));
    upstream("checks").fencing = 1'000'000;
    simulation_->set_target(3);
    simulation_->run(minutes(5));
    EXPECT_EQ(upstream("checks").version, 2U);
    EXPECT_EQ(upstream("checks").ordered_at.size(), 2U);
    EXPECT_EQ(upstream("ignores").version, 3U);
}

TEST_F(order_server_test, newer_fencing_number_read_back_forbids_orders) {
    start(1);
    upstream("checks").fencing = 1'000'000;
    simulation_->run(minutes(5));
    EXPECT_TRUE(upstream("checks").ordered_at.empty());
}

TEST_F(order_server_test, lost_order_that_still_loads_is_waited_for) {
    start(1);
    simulation_->run(minutes(2));
    simulation_->late_delivery = milliseconds(31'500);
    simulation_->next_order_fault = [](const auto&) {
        return order_fault::late;
    };
    simulation_->set_target(3);
    simulation_->run(minutes(2));
    EXPECT_TRUE(simulation_->are_all_at(3));
    EXPECT_EQ(upstream("ignores").ordered_at.size(), 2U);
}

TEST_F(order_server_test, restarted_instance_does_not_take_its_old_key) {
    start(1);
    simulation_->run(minutes(2));
    const fencing_number old = upstream("checks").ordered_by.at(0);
    simulation_->restart(0);
    simulation_->set_target(3);
    simulation_->run(seconds(8));
    EXPECT_EQ(simulation_->holders(), 0U);
    simulation_->run(minutes(2));
    EXPECT_TRUE(simulation_->are_all_at(3));
    EXPECT_GT(upstream("checks").ordered_by.at(1), old);
}

TEST_F(order_server_test,
       same_fencing_number_held_again_waits_for_all_upstreams) {
    start(1);
    simulation_->run(minutes(2));
    bool is_renewing = false;
    simulation_->next_call_fault = [&](const platform_request& request) {
        is_renewing = std::holds_alternative<renew_lease>(request);
        return call_fault::none;
    };
    while (!is_renewing) {
        simulation_->run(order_simulation::step);
    }
    simulation_->run(order_simulation::step * 2);
    const auto fencing = upstream("checks").fencing;
    const steady_time paused_at = simulation_->now;
    // The lease has expired by the holder's clock, but not on the platform.
    simulation_->pause(0, milliseconds(13'200));
    simulation_->set_target(3);
    simulation_->run(minutes(2));
    EXPECT_EQ(upstream("checks").fencing, fencing);
    EXPECT_GE(upstream("checks").ordered_at.back() - paused_at,
              successor_wait());
}

TEST_F(order_server_test, drained_holder_hands_over_after_its_last_order) {
    start(2);
    simulation_->run(minutes(2));
    const std::size_t first =
        simulation_->nodes[0].server->status()[0].fencing != 0 ? 0 : 1;
    simulation_->set_target(3);
    simulation_->run(seconds(1));
    simulation_->nodes[first].server->begin_drain();
    simulation_->run(seconds(1));
    EXPECT_EQ(simulation_->holders(), 1U);
    simulation_->run(seconds(13));
    EXPECT_TRUE(simulation_->are_all_at(3));
    EXPECT_NE(simulation_->nodes[1 - first].server->status()[0].fencing, 0U);
}

TEST_F(order_server_test, upstream_whose_swap_fails_is_ordered_again) {
    start(1);
    simulation_->run(minutes(2));
    upstream("checks").swaps_to_fail = 2;
    simulation_->set_target(3);
    simulation_->run(minutes(1));
    EXPECT_TRUE(simulation_->are_all_at(3));
    EXPECT_EQ(upstream("checks").ordered_at.size(), 4U);
}

TEST_F(order_server_test, upstream_found_at_an_old_version_is_repaired) {
    start(1);
    simulation_->run(minutes(2));
    // The effect of an order that was delayed in a buffer for longer than
    // `longest_order`.
    upstream("ignores").version = 1;
    simulation_->run(simulation_->options.refresh_period + seconds(15));
    EXPECT_TRUE(simulation_->are_all_at(2));
}

/// With lost, late and duplicated messages and paused instances, no order takes
/// effect after a newer one. Once the faults stop, every upstream reaches the
/// target.
RC_GTEST_FIXTURE_PROP(order_server_test, no_order_overtakes_a_newer_one, ()) {
    start(3);
    simulation_->add_upstream("ignores too", false);
    weight_version target = 2;
    const auto chance = [](int percent) {
        return *rc::gen::inRange(0, 100) < percent;
    };
    simulation_->next_call_fault = [&](const platform_request&) {
        return chance(15) ? static_cast<call_fault>(*rc::gen::inRange(1, 4))
                          : call_fault::none;
    };
    simulation_->next_order_fault = [&](const upstream_order&) {
        simulation_->late_delivery = milliseconds(*rc::gen::inRange(0, 29'000));
        return chance(40) ? static_cast<order_fault>(*rc::gen::inRange(1, 4))
                          : order_fault::none;
    };
    for (int round = 0; round < 40; ++round) {
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
        case 1:
            simulation_->pause(*rc::gen::inRange<std::size_t>(0, 3),
                               milliseconds(*rc::gen::inRange(0, 90'000)));
            break;
        case 2:
            simulation_->is_platform_unreachable = chance(30);
            break;
        case 3:
            upstream("checks").swaps_to_fail = 1;
            break;
        default:
            simulation_->set_target(++target);
            break;
        }
        simulation_->run(milliseconds(*rc::gen::inRange(0, 40'000)));
        RC_ASSERT(simulation_->overtaken() == 0U);
    }
    simulation_->next_call_fault = [](const auto&) { return call_fault::none; };
    simulation_->next_order_fault = [](const auto&) {
        return order_fault::none;
    };
    simulation_->is_platform_unreachable = false;
    simulation_->set_target(++target);
    simulation_->run(minutes(5));
    RC_ASSERT(simulation_->overtaken() == 0U);
    RC_ASSERT(simulation_->are_all_at(target));
    RC_ASSERT(simulation_->holders() == 1U);
}

} // namespace savorydock
