#include "core/value_delta.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace savorydock;

namespace {

/// A configuration in the operators' form, with a given number of routes.
std::string make_configuration(int version, int routes, int changed_route) {
    std::string text = "{\"version\":" + std::to_string(version);
    text += ",\"routes\":[";
    for (int i = 0; i < routes; ++i) {
        const int seed = i == changed_route ? i + version * 100'003 : i;
        const std::string name = std::to_string(seed * 7'919 % 1'000'003);
        text += "{\"name\":\"r-" + name + "\",\"host\":\"h" + name +
                ".example\",\"prefix\":\"/p" + name +
                "/\",\"route_type\":\"safe\",\"timeout_ms\":1500,"
                "\"target_latency_ms\":150,\"priority\":2,"
                "\"service\":\"s" +
                std::to_string(i % 7) + "\",\"max_attempts\":2},";
    }
    return text + "]}";
}

} // namespace

// Load pattern: one of 1,450 routes changes.
TEST(value_delta_test, one_changed_route_takes_little_space) {
    const std::string base = make_configuration(7, 1'450, -1);
    const std::string value = make_configuration(8, 1'450, 900);
    ASSERT_GT(value.size(), 200'000U);
    const std::string bytes = encode_delta(value, base);
    EXPECT_LT(bytes.size(), 1'000U);
    EXPECT_EQ(*decode_delta(bytes, base), value);
}

TEST(value_delta_test, value_without_a_base_is_compressed) {
    const std::string value = make_configuration(7, 1'450, -1);
    const std::string bytes = encode_delta(value, "");
    EXPECT_LT(bytes.size(), value.size() / 4);
    EXPECT_EQ(*decode_delta(bytes, ""), value);
}

TEST(value_delta_test, delta_of_another_base_is_refused) {
    const std::string base = make_configuration(7, 200, -1);
    const std::string bytes =
        encode_delta(make_configuration(8, 200, 100), base);
    EXPECT_FALSE(decode_delta(bytes, make_configuration(6, 200, 3)));
    EXPECT_FALSE(decode_delta(bytes, ""));
}

TEST(value_delta_test, value_over_the_size_limit_is_refused) {
    const std::string large(max_delta_value_bytes + 1, 'a');
    EXPECT_TRUE(encode_delta(large, "").empty());
    const std::string allowed(max_delta_value_bytes, 'a');
    EXPECT_EQ(decode_delta(encode_delta(allowed, ""), "")->size(),
              max_delta_value_bytes);
}

RC_GTEST_PROP(value_delta_test, any_value_is_restored,
              (const std::string& base, const std::string& value)) {
    RC_ASSERT(*decode_delta(encode_delta(value, base), base) == value);
}

RC_GTEST_PROP(value_delta_test, damaged_bytes_do_not_crash,
              (const std::string& bytes, const std::string& base)) {
    static_cast<void>(decode_delta(bytes, base));
    std::string damaged = encode_delta("some value " + base, base);
    if (!damaged.empty() && !bytes.empty()) {
        char& target = damaged[bytes.size() % damaged.size()];
        target = static_cast<char>(target ^ bytes.front());
    }
    static_cast<void>(decode_delta(damaged, base));
}
