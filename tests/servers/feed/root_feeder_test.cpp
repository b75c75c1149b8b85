#include "servers/batch/job_keys.hpp"
#include "servers/feed/root_feeder.hpp"
#include "servers/feed/term_value.hpp"

#include <gtest/gtest.h>

using namespace savorydock;

namespace {

class root_feeder_test : public ::testing::Test {
public:
    void add(const std::string& zone, const std::string& holder,
             store_revision term) {
        const std::string key = std::string(feed_term_prefix) + zone;
        keys[key] = {.key = key,
                     .value = encode_term_value(instance_id(holder), 9),
                     .modified = term};
    }

    std::map<std::string, stored_value> keys;
    instance_id self{"self"};
};

} // namespace

TEST_F(root_feeder_test, feeder_with_the_oldest_term_is_the_root) {
    add("a", "x", 30);
    add("b", "y", 20);
    add("c", "self", 40);
    const auto root = find_root_feeder(keys, self, 40);
    ASSERT_TRUE(root);
    EXPECT_EQ(root->instance, instance_id("y"));
    EXPECT_EQ(root->zone, availability_zone("b"));
    EXPECT_EQ(other_feeders(keys, self).size(), 2U);
}

// The copy of the keys may be older than this instance's own term.
TEST_F(root_feeder_test, own_term_replaces_what_the_keys_say_of_it) {
    add("a", "x", 30);
    add("c", "self", 10);
    EXPECT_EQ(find_root_feeder(keys, self, 40)->instance, instance_id("x"));
    EXPECT_EQ(find_root_feeder(keys, self, 10)->instance, self);
    EXPECT_EQ(find_root_feeder(keys, self, std::nullopt)->instance,
              instance_id("x"));
}

TEST_F(root_feeder_test, other_terms_are_no_feeders) {
    keys[std::string(term_prefix) + "engines"] = {
        .key = std::string(term_prefix) + "engines", .value = "x/1"};
    EXPECT_FALSE(find_root_feeder(keys, self, std::nullopt));
}
