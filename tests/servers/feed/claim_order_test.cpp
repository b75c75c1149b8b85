#include "servers/feed/claim_order.hpp"

#include <gtest/gtest.h>

#include <set>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class claim_order_test : public ::testing::Test {
public:
    claim_order_test() {
        for (int i = 0; i < 40; ++i) {
            const instance_id name("n" + std::to_string(i));
            directory[name] = {.instance = name,
                               .zone =
                                   availability_zone(i % 2 == 0 ? "a" : "b")};
        }
    }

    /// Number of instances that claim within a time.
    std::size_t claims_within(std::chrono::milliseconds limit,
                              claim_order_options options = {}) {
        std::size_t count = 0;
        for (const auto& [name, entry] : directory) {
            if (options.zone && entry.zone != *options.zone) {
                continue;
            }
            options.self = name;
            const auto delay =
                claim_delay(directory, "c/term/e", last_holder, options);
            count += delay && *delay < limit ? 1 : 0;
        }
        return count;
    }

    instance_id first() {
        for (const auto& [name, entry] : directory) {
            if (claim_delay(directory, "c/term/e", last_holder,
                            {.self = name}) == 0ms) {
                return name;
            }
        }
        return instance_id();
    }

    node_directory directory;
    instance_id last_holder;
};

} // namespace

// Load pattern: the holder of a scope fails and all instances see it at once.
TEST_F(claim_order_test, one_instance_claims_at_a_time) {
    EXPECT_EQ(claims_within(120ms), 1U);
    EXPECT_EQ(claims_within(240ms), 2U);
    EXPECT_EQ(claims_within(120ms, {.zone = availability_zone("b")}), 1U);
}

TEST_F(claim_order_test, last_holder_comes_after_the_others) {
    last_holder = first();
    const auto delay =
        claim_delay(directory, "c/term/e", last_holder, {.self = last_holder});
    EXPECT_EQ(delay, 20 * 120ms);
    EXPECT_NE(first(), last_holder);
}

TEST_F(claim_order_test, unsuited_and_leaving_instances_come_last) {
    directory[first()].is_leaving = true;
    const instance_id second = first();
    const auto is_last = [&](const node_entry& entry) {
        return entry.instance == second;
    };
    EXPECT_EQ(claim_delay(directory, "c/term/e", last_holder,
                          {.self = second, .is_last = is_last}),
              20 * 120ms);
}

TEST_F(claim_order_test, scopes_are_claimed_by_different_instances) {
    std::set<instance_id> firsts;
    for (const char* const scope : {"a", "b", "c", "d", "e"}) {
        for (const auto& [name, entry] : directory) {
            if (claim_delay(directory, scope, {}, {.self = name}) == 0ms) {
                firsts.insert(name);
            }
        }
    }
    EXPECT_GT(firsts.size(), 2U);
}

TEST_F(claim_order_test, instance_that_is_not_listed_does_not_claim) {
    EXPECT_FALSE(claim_delay(directory, "c/term/e", last_holder,
                             {.self = instance_id("unknown")}));
}
