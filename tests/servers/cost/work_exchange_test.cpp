#include "servers/cost/work_exchange.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class work_exchange_test : public ::testing::Test {
public:
    static std::vector<upstream_sum> sums(std::uint64_t work) {
        return {{.upstream = upstream_id("u"), .work = work}};
    }

    std::uint64_t total(std::uint64_t own) {
        const auto all = feeder.add_up(sums(own), now);
        return all.empty() ? 0 : all.front().work;
    }

    work_exchange feeder;
    work_exchange follower;
    steady_time now{1h};
};

} // namespace

// Guards against a report that counts twice because it was repeated.
TEST_F(work_exchange_test, sums_hold_each_instance_once) {
    feeder.on_report(instance_id("a"), sums(10), now);
    feeder.on_report(instance_id("b"), sums(20), now);
    feeder.on_report(instance_id("b"), sums(30), now);
    EXPECT_EQ(total(1), 41U);
}

TEST_F(work_exchange_test, report_of_an_instance_that_died_ends) {
    feeder.on_report(instance_id("a"), sums(10), now);
    now += work_exchange::report_lifetime + 1ms;
    EXPECT_EQ(total(0), 0U);
}

// Guards against own work that counts as that of others, and against numbers
// below 0 if the sums don't hold the own report yet.
TEST_F(work_exchange_test, own_part_is_taken_out) {
    follower.on_sent(sums(10));
    EXPECT_EQ(follower.without_own(sums(35)).front().work, 25U);
    EXPECT_EQ(follower.without_own(sums(3)).front().work, 0U);
}

// Guards against memory that a faulty or hostile message takes.
TEST_F(work_exchange_test, message_with_too_much_is_cut) {
    std::vector<upstream_sum> many;
    for (std::size_t index = 0; index < 1'000; ++index) {
        many.push_back({.upstream = upstream_id(std::to_string(index)),
                        .work = ~std::uint64_t{0}});
    }
    feeder.on_report(instance_id("a"), many, now);
    const auto all = feeder.add_up({}, now);
    EXPECT_EQ(all.size(), work_exchange::max_sums);
    EXPECT_LE(all.front().work, 10'000'000'000U);
    EXPECT_EQ(follower.without_own(many).size(), work_exchange::max_sums);
}
