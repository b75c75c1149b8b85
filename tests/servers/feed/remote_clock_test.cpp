#include "core/wire_codec.hpp"
#include "servers/feed/feed_message.hpp"
#include "servers/feed/remote_clock.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class remote_clock_test : public ::testing::Test {
protected:
    remote_clock clock_;
};

/// The heartbeat as the previous build has it.
struct previous_heartbeat {
    store_revision term = 0;
    std::chrono::milliseconds age{0};
    std::vector<std::uint64_t> numbers;
    bool is_between_zones = false;
};
BOOST_DESCRIBE_STRUCT(previous_heartbeat, (),
                      (term, age, numbers, is_between_zones))

} // namespace

TEST_F(remote_clock_test, no_answer_gives_no_time) {
    EXPECT_FALSE(clock_.earliest_local(5ms));
}

// A slow round trip must not replace the better bound of a fast one.
TEST_F(remote_clock_test, best_round_trip_decides) {
    clock_.on_answer(1'000ms, 50'010ms);
    clock_.on_answer(2'000ms, 54'000ms);
    EXPECT_EQ(clock_.earliest_local(60'010ms), 11'000ms);
    clock_.on_answer(9'000ms, 58'001ms);
    EXPECT_EQ(clock_.earliest_local(60'010ms), 11'009ms);
}

TEST_F(remote_clock_test, reset_forgets_all_answers) {
    clock_.on_answer(1ms, 1ms);
    clock_.reset();
    EXPECT_FALSE(clock_.earliest_local(5ms));
}

// Guards against ages that are too small: whatever the delays, the computed
// time is never later than the time at which the other clock was read.
RC_GTEST_FIXTURE_PROP(remote_clock_test, computed_time_is_never_too_late, ()) {
    const auto difference = *rc::gen::inRange<long>(-1'000'000, 1'000'000);
    const auto delays = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5'000)));
    long now = 0;
    for (const int delay : delays) {
        const long sent_at = now;
        now += delay;
        clock_.on_answer(std::chrono::milliseconds(sent_at),
                         std::chrono::milliseconds(now + difference));
        const long read_at = now + delay / 2;
        const auto computed = clock_.earliest_local(
            std::chrono::milliseconds(read_at + difference));
        RC_ASSERT(computed.has_value());
        RC_ASSERT(computed->count() <= read_at);
        now = read_at;
    }
}

// Guards against a release: a heartbeat of the previous build gives no
// confirmed age, and the previous build reads those of this one.
TEST_F(remote_clock_test, heartbeats_of_the_previous_build_are_compatible) {
    const auto newer = wire::decode<feed_heartbeat>(wire::encode(
        previous_heartbeat{.term = 7, .age = 30ms, .numbers = {1, 2}}));
    ASSERT_TRUE(newer);
    EXPECT_EQ(newer->age, 30ms);
    EXPECT_FALSE(newer->confirmed_age);
    EXPECT_EQ(newer->sent_at, 0ms);
    const auto older = wire::decode<previous_heartbeat>(
        wire::encode(feed_heartbeat{.term = 7,
                                    .age = 30ms,
                                    .numbers = {1, 2},
                                    .confirmed_age = 40ms,
                                    .sent_at = 5ms}));
    ASSERT_TRUE(older);
    EXPECT_EQ(older->numbers.size(), 2U);
}
