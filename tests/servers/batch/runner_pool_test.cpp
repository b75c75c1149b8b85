#include "servers/batch/runner_pool.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class runner_pool_test : public ::testing::Test {
public:
    runner_pool_test()
        : pool({.self = instance_id("n0")}) {
        add("n0", 0.25);
        add("n1", 0.5);
        add("n2", 0.125);
    }

    void add(const std::string& name, double share) {
        directory[instance_id(name)] = {.instance = instance_id(name),
                                        .processor_share = share};
    }

    std::map<std::string, std::size_t> assign(std::size_t count) {
        std::map<std::string, std::size_t> loads;
        for (std::size_t at = 0; at < count; ++at) {
            ++loads[pool.assign(next++, directory, now).text()];
        }
        return loads;
    }

    node_directory directory;
    runner_pool pool;
    run_ticket next = 1;
    steady_time now{1h};
};

} // namespace

TEST_F(runner_pool_test, few_runs_stay_with_the_planner) {
    EXPECT_EQ(assign(20)["n0"], 20U);
}

TEST_F(runner_pool_test, many_runs_spread_by_processor_share) {
    const auto loads = assign(200);
    EXPECT_GT(loads.at("n1"), 3 * loads.at("n2"));
    EXPECT_LT(loads.at("n1"), 5 * loads.at("n2"));
    EXPECT_LT(loads.at("n0"), 60U);
}

TEST_F(runner_pool_test, silent_runner_loses_its_runs_and_gets_no_new_ones) {
    assign(120);
    now += 2s;
    const auto lost = pool.take_lost_runs(now);
    EXPECT_FALSE(lost.empty());
    for (const run_ticket ticket : lost) {
        EXPECT_TRUE(pool.runner_of(ticket).is_empty());
    }
    EXPECT_EQ(assign(50)["n0"], 50U);
}

// Load pattern: a third of the instances is unreachable for ten seconds or
// more. Each run that is assigned to one of them again loses another second
// and a half.
TEST_F(runner_pool_test, lost_runner_gets_runs_again_once_it_is_heard) {
    assign(120);
    now += 2s;
    EXPECT_FALSE(pool.take_lost_runs(now).empty());
    EXPECT_EQ(pool.lost_runners(now).size(), 2U);
    now += 20s;
    EXPECT_FALSE(assign(100).contains("n1"));
    pool.on_heard(instance_id("n1"));
    EXPECT_EQ(pool.lost_runners(now),
              std::vector<instance_id>{instance_id("n2")});
    EXPECT_TRUE(assign(50).contains("n1"));
}

TEST_F(runner_pool_test, run_that_its_runner_lacks_is_reported_missing) {
    assign(120);
    run_ticket remote = 0;
    for (run_ticket ticket = 1; ticket <= 120; ++ticket) {
        if (pool.runner_of(ticket) == instance_id("n1")) {
            remote = ticket;
        }
    }
    ASSERT_NE(remote, 0U);
    // At first the command may still be in transit to the runner.
    EXPECT_TRUE(pool.on_runner_update(instance_id("n1"), {}, now + 1s).empty());
    const auto missing = pool.on_runner_update(instance_id("n1"), {}, now + 2s);
    EXPECT_NE(std::find(missing.begin(), missing.end(), remote), missing.end());
}

namespace {

/// Two zones, each with one large and two small instances.
class runner_pool_zone_test : public runner_pool_test {
public:
    runner_pool_zone_test() {
        directory.clear();
        for (const char* const zone : {"z0", "z1"}) {
            add(std::string(zone) + "large", 0.5);
            add(std::string(zone) + "small", 0.12);
            add(std::string(zone) + "tiny", 0.12);
        }
        for (auto& [instance, entry] : directory) {
            entry.zone = availability_zone(instance.text().substr(0, 2));
        }
    }

    instance_id assign_to(const char* zone, const char* upstream) {
        return pool.assign(
            next++, directory, now,
            runner_preference{.zone = availability_zone(zone),
                              .upstream = upstream_id(upstream)});
    }
};

} // namespace

// Guards against a new connection for every other run: runs of an engine went
// to different instances, which had no connection to it (3,006 connections for
// 6,630 requests).
TEST_F(runner_pool_zone_test, runs_of_an_engine_share_an_instance_of_its_zone) {
    for (int run = 0; run < 6; ++run) {
        EXPECT_EQ(assign_to("z1", "e"), instance_id("z1large"));
    }
}

TEST_F(runner_pool_zone_test, engines_spread_over_equal_instances) {
    add("z1other", 0.5);
    directory[instance_id("z1other")].zone = availability_zone("z1");
    std::set<instance_id> runners;
    for (const char* const engine : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
        runners.insert(assign_to("z1", engine));
    }
    EXPECT_EQ(runners.size(), 2U);
}

TEST_F(runner_pool_zone_test,
       runs_beyond_the_near_share_go_to_other_instances) {
    std::set<instance_id> runners;
    for (int run = 0; run < 100; ++run) {
        runners.insert(assign_to("z1", "e"));
    }
    EXPECT_GT(runners.size(), 2U);
}

TEST_F(runner_pool_zone_test, silent_near_instance_is_replaced_by_another) {
    ASSERT_EQ(assign_to("z1", "e"), instance_id("z1large"));
    now += 2s;
    EXPECT_EQ(pool.take_lost_runs(now).size(), 1U);
    EXPECT_NE(assign_to("z1", "e"), instance_id("z1large"));
}

// A runner that reports all it has at a takeover lacks what an earlier process
// of its name ran, and what never reached it.
TEST_F(runner_pool_test, runs_missing_at_a_takeover_are_taken_at_once) {
    for (const run_ticket ticket : {1, 2}) {
        pool.adopt(ticket, instance_id("n1"), now);
    }
    pool.adopt(3, instance_id("n2"), now);
    now += 100ms;
    pool.adopt(4, instance_id("n1"), now);
    EXPECT_EQ(pool.take_missing_runs(instance_id("n1"), {2}, now),
              std::vector<run_ticket>{1});
    EXPECT_TRUE(pool.runner_of(1).is_empty());
    for (const run_ticket ticket : {2, 3, 4}) {
        EXPECT_FALSE(pool.runner_of(ticket).is_empty()) << ticket;
    }
}
