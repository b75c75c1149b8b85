#include "tests/servers/routing/routing_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <thread>
#include <vector>

namespace savorydock {

/// Names the policy for the name of a parameterised test.
std::string
name_of_case(const ::testing::TestParamInfo<routing_policy_kind>& info) {
    switch (info.param) {
    case routing_policy_kind::adaptive:
        return "adaptive";
    case routing_policy_kind::round_robin:
        return "round_robin";
    case routing_policy_kind::least_in_flight:
        return "least_in_flight";
    }
    return "unknown";
}

class snapshot_router_test
    : public ::testing::TestWithParam<routing_policy_kind> {
protected:
    static constexpr std::uint32_t upstreams = 8;

    /// Picks `count` times and returns how often each upstream was chosen. The
    /// requests stay in flight if `leave_in_flight` is set.
    std::vector<std::uint32_t> pick_counts(int count, const route_query& query,
                                           bool leave_in_flight = false) {
        std::vector<std::uint32_t> counts(upstreams);
        for (int step = 0; step < count; ++step) {
            const auto choice = router_.pick(query, now_);
            if (!choice) {
                last_code_ = choice.reason().code;
                continue;
            }
            const upstream_id& name = choice->upstream->name;
            ++counts[std::stoul(name.text().substr(1))];
            if (leave_in_flight) {
                router_.begin(service_, name);
            }
        }
        return counts;
    }

    void finish_requests(std::uint32_t at, upstream_evidence evidence,
                         std::chrono::microseconds latency, int times = 40) {
        for (int step = 0; step < times; ++step) {
            router_.finish(service_, routing_fixture::name(at), evidence,
                           latency);
        }
    }

    const service_name service_{"model"};
    steady_time now_{std::chrono::hours(1)};
    result_code last_code_ = result_code::ok;
    routing_fixture fixture_{upstreams, GetParam()};
    snapshot_router router_{availability_zone("z0"), 7};
};

TEST_P(snapshot_router_test, upstream_that_may_not_serve_gets_nothing) {
    fixture_.state(0).condition = upstream_condition::leaving;
    fixture_.state(1).condition = upstream_condition::swapping;
    fixture_.state(2).condition = upstream_condition::suspected;
    fixture_.state(3).version = 0;
    fixture_.publish(router_);
    route_query query = fixture_.query();
    query.minimum_version = 1;
    const std::array excluded{routing_fixture::name(4)};
    query.excluded = excluded;
    router_.finish(service_, routing_fixture::name(5),
                   upstream_evidence::reported_leaving, {});
    const auto counts = pick_counts(400, query, true);
    EXPECT_EQ(std::vector<std::uint32_t>(counts.begin(), counts.begin() + 6),
              std::vector<std::uint32_t>(6, 0));
    EXPECT_GT(counts[6], 0U);
    EXPECT_GT(counts[7], 0U);
}

TEST_P(snapshot_router_test, suspected_upstream_is_used_when_nobody_else_can) {
    for (std::uint32_t at = 0; at < upstreams; ++at) {
        fixture_.state(at).condition = upstream_condition::leaving;
    }
    fixture_.publish(router_);
    EXPECT_EQ(pick_counts(1, fixture_.query())[0], 0U);
    EXPECT_EQ(last_code_, result_code::not_run_no_upstream);
    fixture_.state(6).condition = upstream_condition::suspected;
    fixture_.publish(router_);
    EXPECT_EQ(pick_counts(10, fixture_.query())[6], 10U);
}

TEST_P(snapshot_router_test, counts_survive_publications_and_removal) {
    fixture_.publish(router_);
    const auto choice = router_.pick(fixture_.query(), now_);
    const upstream_id name = choice->upstream->name;
    router_.begin(service_, name);
    auto without = std::make_shared<service_document>(fixture_.document());
    std::erase_if(without->upstreams,
                  [&](const auto& rule) { return rule.name == name; });
    auto with = std::make_shared<service_document>(fixture_.document());
    fixture_.replace_document(without);
    fixture_.publish(router_);
    router_.begin(service_, name);
    fixture_.replace_document(with);
    fixture_.publish(router_);
    // The upstream has two requests in flight, so the least-in-flight policy
    // prefers the others for the next 14 requests.
    const std::uint32_t at = std::stoul(name.text().substr(1));
    const auto counts = pick_counts(14, fixture_.query(), true);
    if (GetParam() == routing_policy_kind::least_in_flight) {
        EXPECT_EQ(counts[at], 0U);
    }
    EXPECT_EQ(choice->upstream->name, name);
}

TEST_P(snapshot_router_test, load_counts_own_requests_once) {
    fixture_.state(0).condition = upstream_condition::swapping;
    fixture_.publish(router_);
    for (int step = 0; step < 3; ++step) {
        router_.begin(service_, routing_fixture::name(1));
    }
    fixture_.state(1).reported_load = 5;
    fixture_.state(1).reported_at = now_;
    fixture_.publish(router_);
    const fleet_load load = router_.load(service_);
    EXPECT_EQ(load.slots, 7 * 16U);
    EXPECT_EQ(load.load, 5U);
    EXPECT_EQ(load.own_in_flight, 3U);
}

TEST_P(snapshot_router_test, picks_during_publications_stay_valid) {
    fixture_.publish(router_);
    std::vector<std::thread> threads;
    threads.reserve(2);
    for (int thread = 0; thread < 2; ++thread) {
        threads.emplace_back([&, query = fixture_.query()] {
            for (int step = 0; step < 20'000; ++step) {
                const auto choice = router_.pick(query, now_);
                if (choice) {
                    const upstream_id& name = choice->upstream->name;
                    router_.begin(service_, name);
                    router_.finish(service_, name, upstream_evidence::answered,
                                   std::chrono::microseconds(5));
                }
            }
        });
    }
    for (int step = 0; step < 200; ++step) {
        fixture_.publish(router_);
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    EXPECT_TRUE(router_.pick(fixture_.query(), now_));
}

TEST_P(snapshot_router_test, other_zones_get_nothing_if_so_declared) {
    auto document = std::make_shared<service_document>(fixture_.document());
    document->cross_zone = cross_zone_use::never;
    fixture_.replace_document(document);
    fixture_.publish(router_);
    const auto counts = pick_counts(200, fixture_.query());
    EXPECT_EQ(counts[0] + counts[4], 200U);
}

INSTANTIATE_TEST_SUITE_P(
    each_policy, snapshot_router_test,
    ::testing::Values(routing_policy_kind::adaptive,
                      routing_policy_kind::round_robin,
                      routing_policy_kind::least_in_flight),
    name_of_case);

/// Tests what only the adaptive policy guarantees.
class adaptive_policy_test : public snapshot_router_test {};

TEST_P(adaptive_policy_test, home_zone_comes_first_until_it_is_loaded) {
    fixture_.publish(router_);
    const auto idle = pick_counts(100, fixture_.query());
    EXPECT_EQ(idle[0] + idle[4], 100U);
    const auto loaded = pick_counts(60, fixture_.query(), true);
    EXPECT_LT(loaded[0] + loaded[4], 40U);
}

TEST_P(adaptive_policy_test, other_zones_are_left_alone_if_so_declared) {
    auto document = std::make_shared<service_document>(fixture_.document());
    document->cross_zone = cross_zone_use::never;
    fixture_.replace_document(document);
    fixture_.publish(router_);
    const auto counts = pick_counts(200, fixture_.query(), true);
    EXPECT_EQ(counts[0] + counts[4], 64U);
    EXPECT_EQ(last_code_, result_code::not_run_overloaded);
}

TEST_P(adaptive_policy_test, slow_upstream_gets_little_traffic_and_recovers) {
    fixture_.publish(router_);
    for (std::uint32_t at = 0; at < upstreams; ++at) {
        finish_requests(at, upstream_evidence::answered,
                        std::chrono::microseconds(at == 0 ? 50'000 : 1'000));
    }
    fixture_.publish(router_);
    const auto slow = pick_counts(1'000, fixture_.query());
    EXPECT_GT(slow[0], 0U);
    EXPECT_LT(slow[0], 120U);
    // Cancelled requests have no latency and must not end the reduced weight.
    finish_requests(0, upstream_evidence::answered, {}, 80);
    fixture_.publish(router_);
    EXPECT_LT(pick_counts(1'000, fixture_.query())[0], 120U);
    finish_requests(0, upstream_evidence::answered,
                    std::chrono::microseconds(1'000), 80);
    fixture_.publish(router_);
    EXPECT_GT(pick_counts(1'000, fixture_.query())[0], 300U);
}

TEST_P(adaptive_policy_test, consecutive_failures_eject_before_control_knows) {
    fixture_.publish(router_);
    finish_requests(4, upstream_evidence::refused_connection, {}, 3);
    EXPECT_LT(pick_counts(1'000, fixture_.query())[4], 120U);
}

TEST_P(adaptive_policy_test, prefix_stays_on_one_upstream_until_it_is_loaded) {
    fixture_.publish(router_);
    route_query query = fixture_.query();
    query.prefix_hash = 12'345;
    const auto idle = pick_counts(50, query);
    EXPECT_EQ(*std::max_element(idle.begin(), idle.end()), 50U);
    const auto held = pick_counts(96, query, true);
    EXPECT_LT(*std::max_element(held.begin(), held.end()), 30U);
}

TEST_P(adaptive_policy_test, learned_prefix_is_preferred_until_it_expires) {
    fixture_.publish(router_);
    route_query query = fixture_.query();
    query.prefix_hash = 99;
    const auto before = pick_counts(1, query);
    const std::uint32_t other = before[3] == 0 ? 3 : 2;
    for (std::uint32_t at = 0; at < upstreams; ++at) {
        if (at != other) {
            router_.begin(service_, routing_fixture::name(at));
        }
    }
    router_.learn_prefix(service_, routing_fixture::name(other), 99, now_);
    EXPECT_EQ(pick_counts(20, query)[other], 20U);
}

TEST_P(adaptive_policy_test, nine_routers_with_old_reports_do_not_herd) {
    std::vector<std::unique_ptr<snapshot_router>> routers;
    fixture_.state(5).reported_load = 0;
    for (std::uint32_t at = 0; at < upstreams; ++at) {
        fixture_.state(at).reported_load = at == 5 ? 0 : 6;
        fixture_.state(at).reported_at = now_;
    }
    std::vector<std::uint32_t> total(upstreams);
    for (std::uint64_t seed = 0; seed < 9; ++seed) {
        snapshot_router router(
            availability_zone("z" + std::to_string(seed % 4)), seed);
        fixture_.publish(router);
        for (int step = 0; step < 8; ++step) {
            const auto choice =
                router.pick(fixture_.query(), now_ + std::chrono::seconds(4));
            ++total[std::stoul(choice->upstream->name.text().substr(1))];
            router.begin(service_, choice->upstream->name);
        }
    }
    // An even share of the 72 requests is 9 for each upstream. The upstream
    // that reported no load may get more, but not most of them.
    EXPECT_LE(total[5], 20U);
}

INSTANTIATE_TEST_SUITE_P(one_policy, adaptive_policy_test,
                         ::testing::Values(routing_policy_kind::adaptive),
                         name_of_case);

} // namespace savorydock
