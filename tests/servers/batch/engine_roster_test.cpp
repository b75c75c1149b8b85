#include "servers/batch/engine_roster.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

/// Three engines of two slots.
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

    /// The engine of the next item, or an empty id.
    upstream_id next(weight_version min_version = 0) {
        const engine_need need{
            .model = model, .min_version = min_version, .avoid = avoid};
        const rostered_engine* const engine = roster.choose(need, now);
        return engine == nullptr ? upstream_id() : engine->entry.id;
    }

    void measure(const char* name, std::chrono::milliseconds event) {
        for (int sample = 0; sample < 20; ++sample) {
            roster.measure(upstream_id(name), 4, event * 4, now);
        }
        roster.review(now);
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
    measure("a", 60ms);
    measure("b", 30ms);
    measure("c", 46ms);
    EXPECT_EQ(next(), upstream_id("b"));
    roster.occupy(upstream_id("b"), model, 0);
    roster.occupy(upstream_id("b"), model, 0);
    EXPECT_EQ(next(), upstream_id("c")) << "both slots of b are taken";
}

TEST_F(engine_roster_test, engine_with_an_older_version_is_passed_by) {
    engines[1].versions["m"] = 5;
    roster.set_upstreams(engines, 0, now);
    EXPECT_EQ(next(4), upstream_id("b"));
    EXPECT_EQ(next(6), upstream_id());
}

TEST_F(engine_roster_test, loading_and_leaving_engines_take_nothing) {
    loading.insert(upstream_id("a"));
    engines[1].is_draining = true;
    roster.set_upstreams(engines, 0, now);
    EXPECT_EQ(next(), upstream_id("c"));
}

TEST_F(engine_roster_test, failing_engine_pauses_for_longer_each_time) {
    avoid = {upstream_id("b"), upstream_id("c")};
    roster.set_aside(upstream_id("a"), now);
    EXPECT_NE(next(), upstream_id("a"));
    now += 250ms;
    EXPECT_EQ(next(), upstream_id("a"));
    roster.set_aside(upstream_id("a"), now);
    now += 250ms;
    EXPECT_NE(next(), upstream_id("a"));
    now += 250ms;
    EXPECT_EQ(next(), upstream_id("a"));
}

// A fifth of the engines turns slow for 8 s: without new work their old speed
// would stand for the rest of the day.
TEST_F(engine_roster_test, engine_that_was_slow_is_tried_again) {
    measure("a", 160ms);
    measure("b", 46ms);
    measure("c", 46ms);
    roster.occupy(upstream_id("b"), model, 0);
    EXPECT_EQ(next(), upstream_id("c"));
    roster.occupy(upstream_id("c"), model, 0);
    EXPECT_NE(next(), upstream_id("a"));
    now += 4s;
    roster.review(now);
    EXPECT_EQ(next(), upstream_id("a")) << "idle, and taken for typical again";
}

TEST_F(engine_roster_test, slower_build_is_remembered) {
    measure("a", 60ms);
    measure("b", 46ms);
    measure("c", 46ms);
    now += 1min;
    roster.review(now);
    roster.occupy(upstream_id("b"), model, 0);
    roster.occupy(upstream_id("c"), model, 0);
    EXPECT_NE(next(), upstream_id("a"));
}
