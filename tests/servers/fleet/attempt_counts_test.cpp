#include "servers/fleet/attempt_counts.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

TEST(attempt_counts_test, burst_of_refused_connections_bounds_the_log) {
    attempt_counts attempts({.max_lines = 10, .period = 1s});
    std::size_t lines = 0;
    for (int i = 0; i < 600; ++i) {
        lines += attempts.on_failed(call_stage::connecting, false,
                                    steady_time(1s + i * 5ms))
                     ? 1
                     : 0;
    }
    EXPECT_EQ(lines, 30U);
    EXPECT_EQ(attempts.failed(call_stage::connecting, false), 600U);
    EXPECT_EQ(attempts.take_unlogged(), 570U);
    EXPECT_EQ(attempts.take_unlogged(), 0U);
}

TEST(attempt_counts_test, kept_and_new_connections_are_counted_apart) {
    attempt_counts attempts;
    attempts.on_answered(true);
    EXPECT_TRUE(attempts.on_failed(call_stage::waiting, true, steady_time(1s)));
    EXPECT_TRUE(
        attempts.on_failed(call_stage::connecting, false, steady_time(1s)));
    EXPECT_EQ(attempts.answered(true), 1U);
    EXPECT_EQ(attempts.answered(false), 0U);
    EXPECT_EQ(attempts.failed(call_stage::waiting, true), 1U);
    EXPECT_EQ(attempts.failed(call_stage::waiting, false), 0U);
    EXPECT_EQ(attempts.failed(call_stage::connecting, false), 1U);
}
