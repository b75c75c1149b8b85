#include "servers/control/holder_separation.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

/// An instance that has just started, in a deployment with a lease time of 3 s.
class holder_separation_test : public ::testing::Test {
public:
    static constexpr auto distance = 3'300ms;

    holder_separation::time_point start{1h};
    holder_separation separation{{.process_start = start}};
};

} // namespace

// Guards against turns of two holders: this one makes calls in a new term right
// after the term of another one.
TEST_F(holder_separation_test, call_of_an_earlier_term_delays_its_subject) {
    const auto first_call = start + 10s;
    separation.on_term(5, false, first_call);
    EXPECT_LE(separation.earliest_call("u"), first_call);
    separation.on_call("u", 5, first_call);
    EXPECT_LE(separation.earliest_call("u"), first_call);
    separation.on_term(7, false, first_call + 500ms);
    EXPECT_EQ(separation.earliest_call("u"), first_call + distance);
    EXPECT_EQ(separation.waiting_subjects().at("u"), first_call + distance);
}

// Guards against a wait at each takeover: other subjects, and later calls in
// the same term, need none.
TEST_F(holder_separation_test, call_of_an_earlier_term_delays_nothing_else) {
    const auto first_call = start + 10s;
    separation.on_call("u", 5, first_call);
    const auto now = first_call + 500ms;
    separation.on_term(7, false, now);
    EXPECT_LE(separation.earliest_call("v"), now);
    EXPECT_LE(separation.earliest_first_call(), now);
    separation.on_call("u", 7, first_call + distance);
    EXPECT_LE(separation.earliest_call("u"), first_call + distance);
    EXPECT_TRUE(separation.waiting_subjects().empty());
}

// Guards against turns over a restart: an earlier process of the same instance
// made calls, and its memory of them is gone.
TEST_F(holder_separation_test, calls_wait_after_a_restart) {
    separation.on_term(5, false, start + 1s);
    EXPECT_EQ(separation.earliest_first_call(), start + distance);
    EXPECT_EQ(separation.earliest_call("u"), start + distance);
}

TEST_F(holder_separation_test, calls_after_a_settled_own_term_are_not_delayed) {
    separation.on_term(5, true, start + 1s);
    EXPECT_LE(separation.earliest_call("u"), start + 1s);
    EXPECT_LE(separation.settled_from(), start + 1s);
}

// Guards against a distance that is counted from when a call was sent: it may
// arrive until its exchange ends, also when the term has ended.
TEST_F(holder_separation_test, call_counts_until_its_exchange_ends) {
    const auto sent = start + 10s;
    separation.on_call("u", 5, sent);
    separation.on_term(7, false, sent + 300ms);
    separation.on_call("u", 5, sent + 700ms);
    EXPECT_EQ(separation.earliest_call("u"), sent + 700ms + distance);
}

TEST_F(holder_separation_test, term_is_settled_once_no_call_needs_a_distance) {
    const auto sent = start + 10s;
    separation.on_call("u", 5, sent);
    separation.on_term(7, false, sent + 1s);
    EXPECT_EQ(separation.settled_from(), sent + distance);
    separation.on_call("u", 7, sent + distance);
    EXPECT_LE(separation.settled_from(), sent + distance);
    separation.on_term(9, false, sent + distance);
    EXPECT_EQ(separation.settled_from(), sent + 2 * distance);
}

// Guards against memory that grows with each upstream that ever came.
TEST_F(holder_separation_test, distant_calls_are_forgotten) {
    for (int at = 0; at < 100'000; ++at) {
        separation.on_call("u" + std::to_string(at), 5,
                           start + at * std::chrono::milliseconds(100));
    }
    separation.on_term(7, false, start + 10'000s);
    EXPECT_LE(separation.waiting_subjects().size(), 34U);
}
