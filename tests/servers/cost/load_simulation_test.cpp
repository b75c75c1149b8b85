#include "tests/servers/cost/load_simulation.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

/// Compares the placement in use with today's smoothed call time. The tables in
/// docs/design/cost.md compare all candidates.
class load_simulation_test : public ::testing::Test {
public:
    void play(simulated_load load) {
        load.time = 15s;
        today = load_simulation(load, std::nullopt).run();
        by_cost = load_simulation(load, placement_options()).run();
    }

    void expect_better_answers() const {
        EXPECT_LT(by_cost.mean, 0.9 * today.mean);
        EXPECT_LT(by_cost.small_p99, today.small_p99);
        EXPECT_GT(by_cost.in_target, today.in_target);
    }

    simulated_result today;
    simulated_result by_cost;
};

} // namespace

TEST_F(load_simulation_test, mixed_costs_and_long_tails_are_answered_sooner) {
    play({});
    expect_better_answers();
    EXPECT_LT(by_cost.imbalance, today.imbalance);
}

TEST_F(load_simulation_test, uneven_zones_are_answered_sooner) {
    play({.utilisation = 0.6, .zone_speeds = {0.55, 1.2, 1.2, 1.2}});
    expect_better_answers();
}

TEST_F(load_simulation_test, slow_phases_are_answered_sooner) {
    play({.utilisation = 0.5, .slow_phases = 0.4});
    expect_better_answers();
}

TEST_F(load_simulation_test, four_upstreams_are_answered_sooner) {
    play({.upstreams = 4, .utilisation = 0.55});
    expect_better_answers();
}

TEST_F(load_simulation_test, surge_is_answered_sooner) {
    play({.utilisation = 0.45, .surge = 3});
    expect_better_answers();
}

// Guards against a placement that helps mixed loads at the expense of others.
TEST_F(load_simulation_test, equal_calls_and_upstreams_are_served_as_well) {
    play({.large_work = 0});
    EXPECT_LE(by_cost.mean, today.mean * 1.05);
    EXPECT_GE(by_cost.in_target, today.in_target - 0.001);
    EXPECT_LT(by_cost.imbalance, today.imbalance);
}

// Guards against stale sums that send all instances to the same upstream.
TEST_F(load_simulation_test, exchanged_sums_do_no_harm) {
    play({.exchange = 350ms});
    expect_better_answers();
}
