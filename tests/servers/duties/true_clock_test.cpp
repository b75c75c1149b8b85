#include "servers/duties/true_clock.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class true_clock_test : public ::testing::Test {
public:
    true_clock_test() { read(0s, 0ms); }

    /// Reads both clocks at this time after the start, with the system clock
    /// ahead by `error`.
    void read(std::chrono::milliseconds at, std::chrono::milliseconds error) {
        clock.update(boot_clock::time_point(at),
                     std::chrono::system_clock::time_point(1000s + at + error));
    }
    /// How far the clock is ahead at this time.
    std::chrono::milliseconds error_at(std::chrono::milliseconds at) const {
        return clock.at(boot_clock::time_point(at)).time_since_epoch() - at -
               1000s;
    }

    true_clock clock;
};

} // namespace

// Guards against counts in a wrong window while the time of day is wrong.
TEST_F(true_clock_test, jump_and_jump_back_change_nothing) {
    for (auto at = 1s; at < 50s; at += 1s) {
        read(at, at > 10s && at < 40s ? 5s : 0s);
        EXPECT_EQ(error_at(at), 0ms);
    }
}

// Guards against a clock that stays wrong after the time of day was set.
TEST_F(true_clock_test, jump_that_lasts_is_adopted) {
    read(10s, 5s);
    read(69s, 5s);
    EXPECT_EQ(error_at(69s), 0ms);
    EXPECT_TRUE(clock.is_system_clock_off());
    read(70s, 5s);
    EXPECT_EQ(error_at(70s), 5s);
    EXPECT_FALSE(clock.is_system_clock_off());
}

// Guards against adopting one of several jumps by the time of all of them.
TEST_F(true_clock_test, each_further_jump_restarts_the_wait) {
    read(10s, 5s);
    read(50s, -4s);
    read(75s, -4s);
    EXPECT_EQ(error_at(75s), 0ms);
}

// Guards against drift of the boot clock.
TEST_F(true_clock_test, small_corrections_are_followed) {
    for (std::chrono::milliseconds at = 1s; at < 30s; at += 1s) {
        read(at, at / 10);
    }
    EXPECT_EQ(error_at(29s), 2900ms);
}
