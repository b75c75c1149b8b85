#include "core/wire_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorydock {

struct inner_message {
    instance_id name;
    std::optional<std::uint64_t> number;
};
BOOST_DESCRIBE_STRUCT(inner_message, (), (name, number))

struct outer_message {
    result_code code = result_code::ok;
    std::vector<inner_message> list;
    std::map<std::string, double> shares;
    std::chrono::milliseconds age{0};
};
BOOST_DESCRIBE_STRUCT(outer_message, (), (code, list, shares, age))

TEST(wire_codec_test, described_struct_survives_the_round_trip) {
    outer_message sent{
        .code = result_code::not_found,
        .list = {{instance_id("a"), 7}, {instance_id("b"), {}}},
        .shares = {{"x", 0.5}},
        .age = std::chrono::milliseconds(12),
    };
    const auto got = wire::decode<outer_message>(wire::encode(sent));
    ASSERT_TRUE(got) << got.reason().detail;
    EXPECT_EQ(got->code, sent.code);
    ASSERT_EQ(got->list.size(), 2U);
    EXPECT_EQ(got->list[0].number, 7U);
    EXPECT_FALSE(got->list[1].number);
    EXPECT_EQ(got->shares, sent.shares);
    EXPECT_EQ(got->age, sent.age);
}

RC_GTEST_PROP(wire_codec_test, any_bytes_never_throw, ()) {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    const auto got = wire::decode<outer_message>(bytes);
    RC_ASSERT(got.has_value() || got.reason().code == result_code::bad_frame);
}

RC_GTEST_PROP(wire_codec_test, changed_bytes_never_throw, ()) {
    const outer_message sent{.list = {{instance_id("a"), 7}, {{}, {}}},
                             .shares = {{"x", 0.5}},
                             .age = std::chrono::milliseconds(12)};
    std::string bytes = wire::encode(sent);
    for (int changes = *rc::gen::inRange(1, 6); changes > 0; --changes) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            bytes.resize(at);
            break;
        case 1:
            bytes.insert(at, *rc::gen::arbitrary<std::string>());
            break;
        default:
            bytes.replace(at, 1, 1, *rc::gen::arbitrary<char>());
        }
    }
    const auto got = wire::decode<outer_message>(bytes);
    RC_ASSERT(got.has_value() || got.reason().code == result_code::bad_frame);
}

// Another writer may put such a value under a key whose values are decoded. It
// must not overflow the stack.
TEST(wire_codec_test, deeply_nested_bytes_are_refused) {
    // A list and a map of one element; a list, a map, bytes and a text of
    // indefinite length; a tag.
    for (const std::string& level :
         {std::string("\x81"), std::string("\xa1\x60"), std::string("\x9f"),
          std::string("\xbf\x60"), std::string("\x5f"), std::string("\x7f"),
          std::string("\xc1")}) {
        std::string bytes;
        while (bytes.size() < (1U << 20U)) {
            bytes += level;
        }
        const auto got = wire::decode<outer_message>(bytes);
        ASSERT_FALSE(got);
        EXPECT_EQ(got.reason().code, result_code::bad_frame);
    }
}

TEST(wire_codec_test, numbers_outside_the_range_of_their_type_are_refused) {
    const auto decode = [](const wire::node& number, const wire::node& age) {
        const wire::node sent = wire::node::array(
            {0, wire::node::array({wire::node::array({"a", number})}),
             wire::node::array(), age});
        std::string bytes;
        wire::node::to_cbor(sent, bytes);
        return wire::decode<outer_message>(bytes);
    };
    EXPECT_TRUE(decode(UINT64_MAX, INT64_MIN));
    EXPECT_FALSE(decode(-1, 0));
    EXPECT_FALSE(decode(1.5, 0));
    EXPECT_FALSE(decode(1e300, 0));
    EXPECT_FALSE(decode(0, UINT64_MAX));
    EXPECT_FALSE(decode(0, -1e300));
    EXPECT_FALSE(decode(0, std::numeric_limits<double>::quiet_NaN()));
    const std::uint64_t beyond_code = 1ULL << 32U;
    std::string bytes;
    wire::node::to_cbor(wire::node::array({beyond_code}), bytes);
    EXPECT_FALSE(wire::decode<outer_message>(bytes));
}

TEST(wire_codec_test, unknown_members_up_to_the_depth_are_ignored) {
    wire::node deep = wire::node::array();
    for (int depth = 2; depth <= wire::max_depth; ++depth) {
        deep = wire::node::array({deep});
    }
    wire::node sent = wire::to_node(outer_message{});
    sent.push_back(deep);
    std::string bytes;
    wire::node::to_cbor(sent, bytes);
    EXPECT_TRUE(wire::decode<outer_message>(bytes));
    sent.back() = wire::node::array({deep});
    bytes.clear();
    wire::node::to_cbor(sent, bytes);
    EXPECT_FALSE(wire::decode<outer_message>(bytes));
}

} // namespace savorydock
