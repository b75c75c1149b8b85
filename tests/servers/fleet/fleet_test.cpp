#include "servers/fleet/route_table.hpp"
#include "servers/fleet/upstream_pool.hpp"

#include <gtest/gtest.h>

#include <map>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class upstream_pool_test : public ::testing::Test {
public:
    upstream_pool_test()
        : pool({.zone = availability_zone("a")}) {
        for (const char* const zone : {"a", "b", "c"}) {
            entries.push_back({.id = upstream_id(zone),
                               .service = service,
                               .zone = availability_zone(zone),
                               .slots = 6});
        }
        pool.set_upstreams(entries);
    }

    std::string choose(const std::set<upstream_id>& tried = {}) {
        const auto chosen = pool.choose(service, tried, now);
        return chosen ? chosen->id.text() : "";
    }

    void answer(const std::string& id, std::chrono::microseconds time) {
        pool.on_started(upstream_id(id));
        pool.on_ended(upstream_id(id), call_outcome::answered, time, now);
    }

    service_name service{"desk"};
    std::vector<upstream_entry> entries;
    upstream_pool pool;
    steady_time now{1h};
};

} // namespace

TEST_F(upstream_pool_test, calls_under_low_load_stay_in_own_zone) {
    EXPECT_EQ(choose(), "a");
}

TEST_F(upstream_pool_test, burst_spreads_before_slots_are_taken) {
    std::set<std::string> used;
    for (int call = 0; call < 12; ++call) {
        const std::string id = choose();
        used.insert(id);
        pool.on_started(upstream_id(id));
    }
    EXPECT_EQ(used.size(), 3U);
}

TEST_F(upstream_pool_test, upstream_that_becomes_slow_is_not_chosen) {
    for (int call = 0; call < 20; ++call) {
        answer("a", 200ms);
        answer("b", 30ms);
        answer("c", 30ms);
    }
    EXPECT_NE(choose(), "a");
}

// Load: one upstream limits its requests while the others have room.
TEST_F(upstream_pool_test, calls_above_a_limit_go_to_other_upstreams) {
    pool.limits().on_answer(upstream_id("a"), 2, now);
    std::map<std::string, int> calls;
    for (int call = 0; call < 20; ++call) {
        const std::string id = choose();
        ++calls[id];
        pool.limits().reserve(upstream_id(id), now);
        answer(id, 50ms);
    }
    EXPECT_EQ(calls["a"], 2);
    EXPECT_EQ(calls["b"] + calls["c"], 18);
}

TEST_F(upstream_pool_test, consecutive_failures_increase_backoff) {
    for (int failure = 0; failure < 3; ++failure) {
        pool.on_started(upstream_id("a"));
        pool.on_ended(upstream_id("a"), call_outcome::failed, 1ms, now);
    }
    EXPECT_NE(choose(), "a");
    now += 1s;
    EXPECT_NE(choose(), "a");
    now += 1s;
    EXPECT_EQ(choose(), "a");
}

TEST_F(upstream_pool_test, all_upstreams_in_backoff_one_is_still_chosen) {
    for (const upstream_entry& entry : entries) {
        pool.on_started(entry.id);
        pool.on_ended(entry.id, call_outcome::failed, 1ms, now);
    }
    EXPECT_NE(choose(), "");
}

TEST_F(upstream_pool_test, draining_and_tried_upstreams_are_never_chosen) {
    entries[0].is_draining = true;
    pool.set_upstreams(entries);
    EXPECT_EQ(choose({upstream_id("b")}), "c");
    EXPECT_EQ(choose({upstream_id("b"), upstream_id("c")}), "");
    EXPECT_EQ(pool.slots_of(service), 12U);
}

TEST_F(upstream_pool_test, restarted_upstream_has_no_backoff) {
    pool.on_started(upstream_id("a"));
    pool.on_ended(upstream_id("a"), call_outcome::failed, 1ms, now);
    entries[0].started_at = 5;
    pool.set_upstreams(entries);
    EXPECT_EQ(choose(), "a");
}

TEST(route_table_test, longest_prefix_of_the_host_wins) {
    auto configuration = std::make_shared<fleet_configuration>();
    configuration->routes = {
        {.name = "short", .host = "h", .prefix = "/a/"},
        {.name = "long", .host = "h", .prefix = "/a/b/"},
        {.name = "other", .host = "g", .prefix = "/a/b/c/"}};
    const route_table table(configuration);
    EXPECT_EQ(table.find("h", "/a/b/c/d?x=1")->name, "long");
    EXPECT_EQ(table.find("h:80", "/a/c")->name, "short");
    EXPECT_EQ(table.find("h", "/a"), nullptr);
    EXPECT_EQ(table.find("h", "/b?x=/a/"), nullptr);
    EXPECT_EQ(table.find("x", "/a/b/"), nullptr);
}
