#include "servers/feed/feeder_clock.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

/// A feeder whose clock is 100 s ahead of the own one.
class feeder_clock_test : public ::testing::Test {
protected:
    static feed_heartbeat
    make_heartbeat(std::chrono::milliseconds sent_at,
                   std::chrono::milliseconds request_sent_at = 0ms,
                   store_revision term = 5) {
        return {.term = term,
                .age = 10ms,
                .confirmed_age = 200ms,
                .sent_at = sent_at + 100s,
                .request_sent_at = request_sent_at};
    }

    feeder_clock clock_;
};

} // namespace

TEST_F(feeder_clock_test, first_heartbeat_of_a_term_asks_for_a_request) {
    const auto first = clock_.on_heartbeat(make_heartbeat(1'000ms), 1'005ms);
    EXPECT_FALSE(first.transit);
    EXPECT_FALSE(first.confirmed_at);
    EXPECT_TRUE(first.is_request_due);
    EXPECT_FALSE(
        clock_.on_heartbeat(make_heartbeat(1'350ms), 1'355ms).is_request_due);
    EXPECT_TRUE(
        clock_.on_heartbeat(make_heartbeat(2'010ms), 2'015ms).is_request_due);
}

// Guards against ages counted from the arrival of a delayed heartbeat.
TEST_F(feeder_clock_test, delay_after_an_answer_counts_as_transit) {
    static_cast<void>(
        clock_.on_heartbeat(make_heartbeat(1'010ms, 1'000ms), 1'020ms));
    const auto late = clock_.on_heartbeat(make_heartbeat(2'000ms), 5'000ms);
    EXPECT_EQ(late.transit, 3'010ms);
    EXPECT_EQ(late.confirmed_at, 1'790ms);
    EXPECT_TRUE(late.is_request_due);
}

TEST_F(feeder_clock_test, fast_answer_needs_no_further_request) {
    const auto answer =
        clock_.on_heartbeat(make_heartbeat(1'010ms, 1'000ms), 1'020ms);
    EXPECT_EQ(answer.transit, 20ms);
    EXPECT_FALSE(answer.is_request_due);
}

// Guards against the clock of the last feeder being used for the next one.
TEST_F(feeder_clock_test, new_term_forgets_the_answers) {
    static_cast<void>(
        clock_.on_heartbeat(make_heartbeat(1'010ms, 1'000ms), 1'020ms));
    const auto other =
        clock_.on_heartbeat(make_heartbeat(1'500ms, 0ms, 6), 1'510ms);
    EXPECT_FALSE(other.transit);
    EXPECT_TRUE(other.is_request_due);
    EXPECT_FALSE(
        clock_.on_heartbeat(make_heartbeat(1'600ms), 1'610ms).is_request_due);
}

TEST_F(feeder_clock_test, heartbeat_without_a_clock_gives_no_times) {
    const auto timing = clock_.on_heartbeat({.term = 5, .age = 10ms}, 1'000ms);
    EXPECT_FALSE(timing.transit);
    EXPECT_FALSE(timing.confirmed_at);
    EXPECT_FALSE(timing.is_request_due);
}
