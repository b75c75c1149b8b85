#include "servers/identity/key_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>

using namespace savorydock;

TEST(key_table_test, organisations_have_their_keys_and_priorities) {
    const key_table table({{.name = organisation_id("a"),
                            .keys = {"a1", "a2", ""},
                            .priority = 2},
                           {.name = organisation_id("b"), .keys = {"b1"}}});
    EXPECT_TRUE(table.has_organisations());
    ASSERT_NE(table.find("a2"), nullptr);
    EXPECT_EQ(table.find("a2")->organisation, organisation_id("a"));
    EXPECT_EQ(table.find("a2")->rank, 2U);
    ASSERT_NE(table.find("b1"), nullptr);
    EXPECT_FALSE(table.find("b1")->rank);
    EXPECT_EQ(table.rank_of(organisation_id("a")), 2U);
    for (const char* const key : {"", "a", "A1", "a1 ", "a11"}) {
        EXPECT_EQ(table.find(key), nullptr) << key;
    }
    EXPECT_FALSE(key_table().has_organisations());
    EXPECT_FALSE(
        key_table(std::vector<organisation_rule>()).has_organisations());
}

// Guards against keys that are found in the wrong table order, and against keys
// of two organisations that give access to one of them. Few different keys make
// shared ones frequent.
RC_GTEST_PROP(key_table_test,
              key_belongs_to_the_only_organisation_that_lists_it, ()) {
    const auto lists =
        *rc::gen::arbitrary<std::vector<std::vector<std::uint8_t>>>();
    std::vector<organisation_rule> organisations;
    std::map<std::string, std::set<organisation_id>> owners;
    for (std::size_t index = 0; index < lists.size(); ++index) {
        // Two entries of the list may have the same name.
        organisation_rule rule{
            .name = organisation_id("o" + std::to_string(index / 2))};
        for (const std::uint8_t number : lists[index]) {
            rule.keys.push_back("k" + std::to_string(number % 32));
            owners[rule.keys.back()].insert(rule.name);
        }
        organisations.push_back(std::move(rule));
    }
    const key_table table(organisations);
    for (int number = 0; number < 40; ++number) {
        const std::string key = "k" + std::to_string(number);
        const key_table::owner* const found = table.find(key);
        RC_ASSERT((found != nullptr) == (owners[key].size() == 1));
        // The macro would evaluate both sides of a disjunction.
        if (found != nullptr) {
            RC_ASSERT(found->organisation == *owners[key].begin());
        }
    }
}
