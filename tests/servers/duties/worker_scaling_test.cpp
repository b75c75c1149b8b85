#include "servers/duties/worker_scaling.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

const service_name engine("e");

/// Plays a platform that starts ordered workers after the start time.
class worker_scaling_test : public ::testing::Test {
public:
    worker_scaling_test() {
        scaling_rule rule{.min_upstreams = 1,
                          .max_upstreams = 8,
                          .start_time = 4s,
                          .spot_price = 0.2};
        for (const char* const zone : {"a", "b", "c"}) {
            rule.zone_prices[availability_zone(zone)] = zone[0] - 'a' + 1;
            present[group(zone, false)] = 1;
        }
        services = {{.name = engine,
                     .engine = engine_rule{.slots = 4},
                     .scaling = std::move(rule)}};
    }

    static worker_group group(const char* zone, bool is_reclaimable) {
        return {engine, availability_zone(zone), is_reclaimable};
    }
    /// Demand that takes this many workers for a long time.
    void demand(double workers, store_revision term = 1) {
        worker_demand message{.service = engine, .term = term, .slot_rate = 50};
        if (workers > 0) {
            message.work.push_back({.due_in = 100s,
                                    .tokens = static_cast<std::uint64_t>(
                                        workers * 4 * 50 * 100 / 1.2),
                                    .waiting_items = 1'000});
        }
        scaling.on_demand(instance_id("p"), std::move(message), now);
    }
    /// Lets time pass in steps of 250 ms; calls `each` in each step.
    template <class Step>
    void play(std::chrono::milliseconds time, Step each) {
        for (const auto end = now + time; now < end; now += 250ms) {
            each();
            scaling.on_fleet(services, upstreams(), now);
            for (const worker_order& order : scaling.next_orders(now)) {
                orders.push_back(order);
                if (answer != order_end::unknown || is_carried_out) {
                    present[order.group] = order.count;
                }
                scaling.on_answer(order, answer, now);
            }
        }
    }
    void play_at(std::chrono::milliseconds time, double workers) {
        play(time, [&] { demand(workers); });
    }
    std::vector<upstream_entry> upstreams() const {
        std::vector<upstream_entry> entries = draining;
        for (const auto& [id, count] : present) {
            for (std::uint32_t at = 0; at < count; ++at) {
                entries.push_back(
                    {.id = upstream_id(id.zone.text() + std::to_string(at)),
                     .service = engine,
                     .zone = id.zone,
                     .is_reclaimable = id.is_reclaimable});
            }
        }
        return entries;
    }
    /// Workers in all zones but this one, or only those that last there.
    std::uint32_t left_without(const char* zone) const {
        std::uint32_t left = 0;
        for (const auto& [id, count] : present) {
            const bool is_lost =
                id.is_reclaimable && id.zone == availability_zone(zone);
            left += is_lost ? 0 : count;
        }
        return left;
    }

    std::vector<service_rule> services;
    std::map<worker_group, std::uint32_t> present;
    std::vector<upstream_entry> draining;
    worker_scaling scaling;
    steady_time now{1h};
    std::vector<worker_order> orders;
    order_end answer = order_end::accepted;
    bool is_carried_out = false;
};

} // namespace

// Guards against late growth, and against work that one reclaim makes late.
TEST_F(worker_scaling_test, rising_demand_is_covered_without_any_one_zone) {
    play_at(5s, 2);
    orders.clear();
    play_at(250ms, 8);
    EXPECT_FALSE(orders.empty());
    play_at(5s, 8);
    for (const char* const zone : {"a", "b", "c"}) {
        EXPECT_GE(left_without(zone), 8U) << zone;
    }
    std::uint32_t total = 0;
    std::map<availability_zone, std::uint32_t> in_zone;
    for (const auto& [id, count] : present) {
        total += count;
        in_zone[id.zone] += count;
    }
    for (const auto& [zone, count] : in_zone) {
        EXPECT_LE(count, 8U);
        EXPECT_LE(2 * count, total + 1);
    }
}

// Guards against costs of workers that nobody needs, and against shrinking
// between two jobs.
TEST_F(worker_scaling_test, falling_demand_shrinks_after_a_delay_to_the_least) {
    play_at(20s, 8);
    orders.clear();
    play_at(9s, 0);
    EXPECT_TRUE(orders.empty());
    play_at(5s, 0);
    for (const char* const zone : {"a", "b", "c"}) {
        EXPECT_EQ(present[group(zone, false)] + present[group(zone, true)], 1U);
    }
}

// Guards against workers that are ordered away at the start, because their
// entries have not arrived yet.
TEST_F(worker_scaling_test, entries_that_arrive_late_at_the_start_are_kept) {
    play_at(2s, 0);
    for (const char* const zone : {"a", "b", "c"}) {
        present[group(zone, false)] = 4;
    }
    play_at(20s, 0);
    EXPECT_TRUE(orders.empty());
    play_at(3s, 6);
    for (const char* const zone : {"a", "b", "c"}) {
        EXPECT_GE(present[group(zone, false)], 4U);
    }
}

// Guards against orders with each burst of jobs.
TEST_F(worker_scaling_test, demand_that_flaps_causes_no_orders) {
    play_at(12s, 8);
    orders.clear();
    for (int round = 0; round < 8; ++round) {
        play_at(4s, 0);
        play_at(4s, 8);
    }
    EXPECT_TRUE(orders.empty());
}

// Guards against orders that change nothing.
TEST_F(worker_scaling_test, constant_demand_is_ordered_once) {
    play_at(15s, 6);
    EXPECT_LE(orders.size(), 9U);
    orders.clear();
    play_at(60s, 6);
    EXPECT_TRUE(orders.empty());
}

// Guards against losses of capacity while a zone has no reclaimable workers.
TEST_F(worker_scaling_test, unavailable_workers_are_ordered_elsewhere) {
    scaling.on_fleet(services, upstreams(), now);
    demand(8);
    for (const worker_order& order : scaling.next_orders(now)) {
        const bool is_available = order.group != group("a", true);
        present[order.group] += is_available ? order.count : 0;
        scaling.on_answer(
            order, is_available ? order_end::accepted : order_end::unavailable,
            now);
    }
    now += 1s;
    play_at(8s, 8);
    for (const worker_order& order : orders) {
        EXPECT_NE(order.group, group("a", true));
    }
    EXPECT_GE(left_without("b"), 8U);
    play_at(5s, 8);
    EXPECT_GT(present[group("a", true)], 0U);
}

// Guards against new orders in a zone whose workers are just being reclaimed,
// and against treating an ordered shrink as a reclaim.
TEST_F(worker_scaling_test, reclaimed_zone_is_avoided_for_a_time) {
    play_at(12s, 8);
    orders.clear();
    draining.push_back({.id = upstream_id("gone"),
                        .service = engine,
                        .zone = availability_zone("a"),
                        .is_draining = true,
                        .is_reclaimable = true});
    present[group("a", true)] = 0;
    play_at(9s, 8);
    EXPECT_FALSE(orders.empty());
    for (const worker_order& order : orders) {
        EXPECT_FALSE(order.group == group("a", true) && order.count > 0);
    }
    EXPECT_GE(left_without("b"), 8U);
}

// Guards against a storm of orders, and against giving up, while the platform
// doesn't answer.
TEST_F(worker_scaling_test, orders_without_an_answer_are_repeated_slowly) {
    answer = order_end::unknown;
    play_at(10s, 8);
    std::map<worker_group, int> tries;
    for (const worker_order& order : orders) {
        ++tries[order.group];
    }
    for (const auto& [id, count] : tries) {
        EXPECT_GE(count, 3);
        EXPECT_LE(count, 7);
    }
    answer = order_end::accepted;
    play_at(5s, 8);
    EXPECT_GE(left_without("a"), 8U);
}

// Guards against an earlier order that is carried out after a newer one.
TEST_F(worker_scaling_test, overridden_order_is_repeated) {
    play_at(12s, 8);
    const std::uint32_t ordered = present[group("b", true)];
    present[group("b", true)] = ordered + 2;
    play_at(16s, 8);
    EXPECT_EQ(present[group("b", true)], ordered);
}

// Guards against decisions on old demand, and on that of a former planner.
TEST_F(worker_scaling_test, old_demand_changes_nothing) {
    play_at(20s, 8);
    orders.clear();
    play(60s, [] {});
    EXPECT_TRUE(orders.empty());
    demand(8, 2);
    demand(0, 1);
    EXPECT_EQ(scaling.needed_workers(engine, now), 8U);
}

// Guards against shrinking below what callers use without a planner.
TEST_F(worker_scaling_test, requests_of_callers_count_for_all_instances) {
    scaling.on_fleet(services, upstreams(), now);
    EXPECT_FALSE(scaling.needed_workers(engine, now));
    for (const char* const instance : {"x", "y"}) {
        scaling.on_demand(instance_id(instance),
                          {.service = engine, .open_requests = 14}, now);
    }
    EXPECT_EQ(scaling.needed_workers(engine, now), 10U);
    scaling.set_planned({engine});
    EXPECT_FALSE(scaling.needed_workers(engine, now));
    demand(3);
    EXPECT_EQ(scaling.needed_workers(engine, now), 13U);
}

// Guards against a new holder that stops what its predecessor has ordered.
TEST_F(worker_scaling_test, new_holder_takes_what_is_there_as_ordered) {
    play_at(12s, 8);
    orders.clear();
    scaling.reset();
    play_at(12s, 8);
    EXPECT_TRUE(orders.empty());
}

// Guards against numbers outside of a zone's limits and orders in quick
// succession, whatever the demand and the answers.
RC_GTEST_PROP(worker_scaling_property_test, orders_stay_within_the_limits, ()) {
    struct player : worker_scaling_test {
        void TestBody() override {}
    } play;
    std::map<worker_group, steady_time> sent;
    std::map<worker_group, std::uint32_t> accepted = play.present;
    for (int at = 0; at < 200; ++at) {
        play.now += 250ms;
        if (*rc::gen::inRange(0, 4) == 0) {
            play.demand(*rc::gen::inRange(0, 40));
        }
        play.scaling.on_fleet(play.services, play.upstreams(), play.now);
        for (const worker_order& order : play.scaling.next_orders(play.now)) {
            const auto last = sent.find(order.group);
            RC_ASSERT(last == sent.end() || play.now - last->second >= 1s);
            sent[order.group] = play.now;
            const auto end =
                *rc::gen::element(order_end::accepted, order_end::unavailable);
            if (end == order_end::accepted) {
                accepted[order.group] = order.count;
                play.present = accepted;
            }
            play.scaling.on_answer(order, end, play.now);
        }
        for (const char* const zone : {"a", "b", "c"}) {
            RC_ASSERT(accepted[play.group(zone, false)] +
                          accepted[play.group(zone, true)] <=
                      8U);
        }
    }
}
