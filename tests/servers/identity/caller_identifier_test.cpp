#include "servers/identity/caller_identifier.hpp"

#include <gtest/gtest.h>

#include <array>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class caller_identifier_test : public ::testing::Test {
public:
    static caller_identity identify(const caller_identifier& identifier,
                                    std::optional<std::string_view> key,
                                    const view_age& view,
                                    bool is_public = false) {
        const key_table keys(
            {{.name = organisation_id("a"), .keys = {"a1"}, .priority = 3},
             {.name = organisation_id("b"), .keys = {"b1"}}});
        return identifier.identify(keys, {.key = key, .is_public = is_public},
                                   view);
    }

    const caller_identifier strict{5'000ms};
    const caller_identifier usual{std::nullopt};
    const view_age current{.is_current = true, .confirmed_age = 100ms};
    const view_age old{.is_current = false, .confirmed_age = 60s};
    /// A request without a key, and one with an unknown key.
    const std::array<std::optional<std::string_view>, 2> unknown{std::nullopt,
                                                                 "x"};
};

} // namespace

TEST_F(caller_identifier_test, key_decides_in_a_current_view) {
    for (const caller_identifier* const one : {&strict, &usual}) {
        const caller_identity known = identify(*one, "a1", current);
        EXPECT_EQ(known.kind, identity_kind::identified);
        EXPECT_EQ(known.organisation, organisation_id("a"));
        EXPECT_EQ(known.rank, 3U);
        for (const auto& key : unknown) {
            EXPECT_EQ(identify(*one, key, current).kind,
                      identity_kind::unknown_key);
        }
    }
}

TEST_F(caller_identifier_test, public_route_needs_no_key) {
    for (const view_age& view : {current, old}) {
        for (const auto& key : unknown) {
            EXPECT_EQ(identify(strict, key, view, true).kind,
                      identity_kind::anonymous);
        }
        EXPECT_EQ(identify(usual, "b1", view, true).organisation.text(), "b");
    }
    EXPECT_EQ(identify(strict, "b1", current, true).organisation.text(), "b");
    // The key may have been removed, but the request needs none.
    EXPECT_EQ(identify(strict, "b1", old, true).kind, identity_kind::anonymous);
}

// Guards against 401 for keys that are new: callers don't repeat a request
// after 401.
TEST_F(caller_identifier_test, key_is_not_refused_for_good_by_an_old_view) {
    for (const auto& key : unknown) {
        for (const caller_identifier* const one : {&strict, &usual}) {
            const caller_identity refused = identify(*one, key, old);
            EXPECT_EQ(refused.kind, identity_kind::uncertain);
            EXPECT_GE(refused.retry_after, 250ms);
            EXPECT_LE(refused.retry_after, 1s);
        }
        // Guards against a change of deployments without organisations.
        EXPECT_EQ(strict.identify(key_table(), {.key = key}, old).kind,
                  identity_kind::anonymous);
    }
    EXPECT_EQ(identify(usual, "a1", old).kind, identity_kind::identified);
}

TEST_F(caller_identifier_test, strict_deployment_accepts_keys_up_to_the_bound) {
    const auto kind_at = [&](std::optional<std::chrono::milliseconds> age,
                             std::string_view key = "a1") {
        return identify(strict, key, {.confirmed_age = age}).kind;
    };
    EXPECT_EQ(kind_at(3'699ms), identity_kind::identified);
    EXPECT_EQ(kind_at(3'700ms), identity_kind::identified);
    EXPECT_EQ(kind_at(3'701ms), identity_kind::uncertain);
    EXPECT_EQ(kind_at(std::nullopt), identity_kind::uncertain);
    EXPECT_EQ(kind_at(3'701ms, "x"), identity_kind::uncertain);
}
