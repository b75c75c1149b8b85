#include "servers/batch/organisation_shares.hpp"

#include <gtest/gtest.h>

namespace savorydock {

namespace {

using namespace std::chrono_literals;

class organisation_shares_test : public ::testing::Test {
public:
    organisation_id x{"x"};
    organisation_id y{"y"};
    steady_time now{1h};
    organisation_shares shares{{.half_life = 10s, .join_credit = 1s}};
};

// Guards against an organisation that gets everything for a long time, because
// the other one had the engines for itself before.
TEST_F(organisation_shares_test, newcomer_is_ahead_by_the_credit_only) {
    shares.set_competing({x}, 100, now);
    shares.charge(x, 5'000);
    shares.set_competing({x, y}, 100, now);
    EXPECT_DOUBLE_EQ(shares.received(y), 4'900);
}

// Guards against an organisation that leaves and joins again in order to be
// ahead.
TEST_F(organisation_shares_test, work_counts_after_the_organisation_left) {
    shares.set_competing({x, y}, 100, now);
    shares.charge(x, 1'000);
    shares.charge(y, 3'000);
    shares.set_competing({x}, 100, now);
    shares.set_competing({x, y}, 100, now);
    EXPECT_DOUBLE_EQ(shares.received(y), 3'000);
    EXPECT_DOUBLE_EQ(shares.received(x), 1'000);
}

// Guards against a debt that is never forgotten.
TEST_F(organisation_shares_test, work_counts_half_after_the_half_life) {
    shares.set_competing({x, y}, 100, now);
    shares.charge(x, 1'000);
    shares.set_competing({x, y}, 100, now + 10s);
    EXPECT_DOUBLE_EQ(shares.received(x), 500);
    shares.set_competing({y}, 100, now + 10min);
    EXPECT_DOUBLE_EQ(shares.received(x), 0);
}

} // namespace

} // namespace savorydock
