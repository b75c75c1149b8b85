#include "core/wire_codec.hpp"
#include "servers/batch/message_parts.hpp"

#include <gtest/gtest.h>

using namespace savorydock;

namespace {

constexpr std::size_t max_bytes = 10'000;

runner_command make_order(std::size_t tasks, std::size_t body_bytes) {
    runner_command order{.service = service_name("e"),
                         .stopped = {77},
                         .term = 5,
                         .released = {78}};
    for (std::size_t at = 0; at < tasks; ++at) {
        order.tasks.push_back({.ticket = at + 1,
                               .headers = {{"Name", "value"}},
                               .body = std::string(body_bytes, 'b')});
    }
    return order;
}

} // namespace

// Guards against orders that never arrive: the link drops a message above its
// limit, and the items in it were placed and lost in turn.
TEST(message_parts_test, large_order_is_split_below_the_limit) {
    const auto parts = split(make_order(20, 3'000), max_bytes);
    ASSERT_GT(parts.size(), 1U);
    std::vector<run_ticket> tickets;
    for (const runner_command& part : parts) {
        EXPECT_LE(wire::encode(part).size(), max_bytes);
        EXPECT_EQ(part.term, 5U);
        EXPECT_EQ(part.service, service_name("e"));
        for (const run_task& task : part.tasks) {
            tickets.push_back(task.ticket);
        }
    }
    EXPECT_EQ(tickets.size(), 20U);
    EXPECT_EQ(parts[0].stopped, std::vector<run_ticket>{77});
    EXPECT_TRUE(parts[1].stopped.empty());
    EXPECT_TRUE(parts[1].released.empty());
}

TEST(message_parts_test, small_order_stays_whole) {
    EXPECT_EQ(split(make_order(3, 1'000), max_bytes).size(), 1U);
    EXPECT_EQ(split(make_order(0, 0), max_bytes).size(), 1U);
    EXPECT_EQ(split(make_order(1, 30'000), max_bytes).size(), 1U);
}

TEST(message_parts_test, parts_of_a_takeover_say_that_more_follow) {
    runner_update update{.service = service_name("e"),
                         .active = {9},
                         .takeover_term = 4,
                         .leaving = {upstream_id("u")}};
    for (run_ticket ticket = 1; ticket <= 10; ++ticket) {
        update.held.push_back(
            {.ticket = ticket, .text = std::string(3'000, 't')});
    }
    const auto parts = split(update, max_bytes);
    ASSERT_GT(parts.size(), 1U);
    std::size_t held = 0;
    for (std::size_t at = 0; at < parts.size(); ++at) {
        EXPECT_LE(wire::encode(parts[at]).size(), max_bytes);
        EXPECT_EQ(parts[at].takeover_term, 4U);
        EXPECT_EQ(parts[at].has_more, at + 1 < parts.size());
        held += parts[at].held.size();
    }
    EXPECT_EQ(held, 10U);
    EXPECT_EQ(parts[0].active, std::vector<run_ticket>{9});
    EXPECT_TRUE(parts[1].active.empty());
    EXPECT_TRUE(parts[1].leaving.empty());
}

TEST(message_parts_test, deltas_of_a_run_come_before_its_end) {
    runner_update update{.service = service_name("e")};
    update.deltas.push_back({.ticket = 1, .text = std::string(9'000, 't')});
    update.ends.push_back(
        {.ticket = 2,
         .last_delta = {.ticket = 2, .text = std::string(9'000, 't')}});
    const auto parts = split(update, max_bytes);
    ASSERT_EQ(parts.size(), 2U);
    EXPECT_EQ(parts[0].deltas.size(), 1U);
    EXPECT_EQ(parts[1].ends.size(), 1U);
}
