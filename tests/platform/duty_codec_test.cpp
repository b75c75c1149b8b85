#include "platform/duty_codec.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using platform::duty_answer;

// Guards against calls that the platform can't assign to a holder and window.
TEST(duty_codec_test, usage_call_has_the_members_of_the_protocol) {
    const http_request call = platform::make_usage_call(
        platform::make_usage_body(353445120, {{organisation_id("b"), 2},
                                              {organisation_id("a"), 412}}),
        instance_id("node-1"), 17);
    EXPECT_EQ(call.method, "POST");
    EXPECT_EQ(call.target, "/usage");
    EXPECT_EQ(call.header("Duty-Holder"), "node-1");
    EXPECT_EQ(call.header("Fencing-Token"), "17");
    EXPECT_EQ(call.body, R"({"window_id":353445120,"counts":{"a":412,"b":2}})");
    EXPECT_EQ(platform::make_usage_body(1, {}),
              R"({"window_id":1,"counts":{}})");
}

// Guards against repeats of refused calls and against giving up others.
TEST(duty_codec_test, answers_to_usage_calls_are_told_apart) {
    const auto decode = [](unsigned status, bool is_fence_checked = true) {
        return platform::decode_usage_answer({.status = status},
                                             is_fence_checked);
    };
    EXPECT_EQ(decode(202), duty_answer::accepted);
    EXPECT_EQ(decode(409), duty_answer::fenced_off);
    EXPECT_EQ(decode(409, false), duty_answer::refused);
    EXPECT_EQ(decode(400), duty_answer::refused);
    EXPECT_EQ(decode(429), duty_answer::try_again);
    EXPECT_EQ(decode(503), duty_answer::try_again);
}

// Guards against orders for other workers, and against taking a lack of workers
// for the end of the term.
TEST(duty_codec_test, scale_call_and_its_answers_follow_the_protocol) {
    worker_order order{.group = {.service = service_name("e"),
                                 .zone = availability_zone("z"),
                                 .is_reclaimable = true},
                       .count = 6};
    const http_request call =
        platform::make_scale_call(order, instance_id("node-1"), 17);
    EXPECT_EQ(call.target, "/scale");
    EXPECT_EQ(call.body,
              R"({"service":"e","zone":"z","target_groups":6,"spot":true})");
    order.group.is_reclaimable = false;
    EXPECT_EQ(platform::make_scale_call(order, instance_id("node-1"), 17).body,
              R"({"service":"e","zone":"z","target_groups":6})");
    const auto decode = [](unsigned status, const char* body) {
        return platform::decode_scale_answer({.status = status, .body = body},
                                             true);
    };
    EXPECT_EQ(decode(200, ""), duty_answer::accepted);
    EXPECT_EQ(decode(409, "no spot workers"), duty_answer::unavailable);
    EXPECT_EQ(decode(409, "stale Fencing-Token"), duty_answer::fenced_off);
    EXPECT_EQ(decode(429, ""), duty_answer::try_again);
}
