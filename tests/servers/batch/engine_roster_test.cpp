#include "servers/batch/engine_roster.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

/// Three engines with two slots each.
class engine_roster_test : public ::testing::Test {
public:
    engine_roster_test()
        : roster({}, [this](const upstream_id& id, const std::string&,
                            steady_time) { return loading.contains(id); }) {
        for (const char* const name : {"a", "b", "c"}) {
            engines.push_back(
                {.id = upstream_id(name), .slots = 2, .versions = {{"m", 3}}});
        }
        roster.set_upstreams(engines, 0, now);
    }

    /// Returns the engine chosen for the next item, or an empty id.
    upstream_id next(weight_version min_version = 0) {
        const engine_requirements requirements{
            .model = model, .min_version = min_version, .avoid = avoid};
        const roster_entry* const engine = roster.choose(requirements, now);
        return engine == nullptr ? upstream_id() : engine->listed_upstream.id;
    }

    void record_speed(const char* name, std::chrono::milliseconds event) {
        for (int sample = 0; sample < 20; ++sample) {
            roster.record_speed(upstream_id(name), 4, event * 4, now);
        }
        roster.update_typical_speed(now);
    }

    const std::string model = "m";
    std::set<upstream_id> avoid;
    std::set<upstream_id> loading;
    steady_time now{1h};
    std::vector<upstream_entry> engines;
    engine_roster roster;
};

} // namespace

TEST_F(engine_roster_test, faster_engine_with_room_is_chosen) {
    record_speed("a", 60ms);
    record_speed("b", 30ms);
    record_speed("c", 46ms);
    EXPECT_EQ(next(), upstream_id("b"));
    roster.occupy(upstream_id("b"), model, 0);
    roster.occupy(upstream_id("b"), model, 0);
    EXPECT_EQ(next(), upstream_id("c")) << "both slots of b are occupied";
}

TEST_F(engine_roster_test, engine_with_an_older_version_is_skipped) {
    engines[1].versions["m"] = 5;
    roster.set_upstreams(engines, 0, now);
    EXPECT_EQ(next(4), upstream_id("b"));
    EXPECT_EQ(next(6), upstream_id());
}

TEST_F(engine_roster_test, loading_and_leaving_engines_get_no_items) {
    loading.insert(upstream_id("a"));
    engines[1].is_draining = true;
    roster.set_upstreams(engines, 0, now);
    EXPECT_EQ(next(), upstream_id("c"));
}

TEST_F(engine_roster_test, failing_engine_pauses_for_longer_each_time) {
    avoid = {upstream_id("b"), upstream_id("c")};
    roster.pause_engine(upstream_id("a"), now);
    EXPECT_NE(next(), upstream_id("a"));
    now += 250ms;
    EXPECT_EQ(next(), upstream_id("a"));
    roster.pause_engine(upstream_id("a"), now);
    now += 250ms;
    EXPECT_NE(next(), upstream_id("a"));
    now += 250ms;
    EXPECT_EQ(next(), upstream_id("a"));
}

// Guards against engines that stay unused after a slow phase of 8 s: they get
// no items, so no new measurement replaces the one from the slow phase.
TEST_F(engine_roster_test, idle_slow_engine_is_tried_again_after_a_time) {
    record_speed("a", 160ms);
    record_speed("b", 46ms);
    record_speed("c", 46ms);
    roster.occupy(upstream_id("b"), model, 0);
    EXPECT_EQ(next(), upstream_id("c"));
    roster.occupy(upstream_id("c"), model, 0);
    EXPECT_NE(next(), upstream_id("a"));
    now += 4s;
    roster.update_typical_speed(now);
    EXPECT_EQ(next(), upstream_id("a"))
        << "an idle engine is assumed to have recovered";
}

TEST_F(engine_roster_test, slower_engine_type_keeps_its_measured_speed) {
    record_speed("a", 60ms);
    record_speed("b", 46ms);
    record_speed("c", 46ms);
    now += 1min;
    roster.update_typical_speed(now);
    roster.occupy(upstream_id("b"), model, 0);
    roster.occupy(upstream_id("c"), model, 0);
    EXPECT_NE(next(), upstream_id("a"));
}

// Load: items arrive in bursts at engines that limit their requests.
TEST_F(engine_roster_test, engine_at_its_request_limit_gets_no_items) {
    avoid = {upstream_id("b"), upstream_id("c")};
    roster.on_request_limit(upstream_id("a"), 1, now);
    // A burst of three: the requests of one second and two more.
    for (int request = 0; request < 3; ++request) {
        EXPECT_EQ(next(), upstream_id("a"));
        roster.count_request(upstream_id("a"), now);
    }
    EXPECT_NE(next(), upstream_id("a"));
    now += 1s;
    EXPECT_EQ(next(), upstream_id("a"));
    roster.count_request(upstream_id("a"), now);
    EXPECT_NE(next(), upstream_id("a"));
    roster.on_request_limit(upstream_id("a"), std::nullopt, now);
    EXPECT_EQ(next(), upstream_id("a"));
}

TEST_F(engine_roster_test, items_use_their_fraction_of_a_request_limit) {
    avoid = {upstream_id("b"), upstream_id("c")};
    roster.set_limit_fraction(0.5);
    roster.on_request_limit(upstream_id("a"), 2, now);
    for (int request = 0; request < 3; ++request) {
        roster.count_request(upstream_id("a"), now);
    }
    now += 900ms;
    EXPECT_NE(next(), upstream_id("a"));
    now += 100ms;
    EXPECT_EQ(next(), upstream_id("a"));
}

// Guards against a service that seems slow because an engine isn't measured, or
// fast because of one that leaves.
TEST_F(engine_roster_test, speed_counts_all_slots_that_serve) {
    EXPECT_EQ(roster.speed(50).tokens_per_second, 0) << "not measured";
    record_speed("a", 50ms);
    record_speed("b", 100ms);
    engines[1].is_draining = true;
    roster.set_upstreams(engines, 0, now);
    const service_speed speed = roster.speed(5);
    // Two slots of a, and two of c at the typical speed, that of b.
    EXPECT_DOUBLE_EQ(speed.tokens_per_second, 2 * 100 + 2 * 50);
    EXPECT_DOUBLE_EQ(speed.slot_tokens_per_second, 100);
}
