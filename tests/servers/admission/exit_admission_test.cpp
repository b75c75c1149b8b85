#include "servers/admission/exit_admission.hpp"

#include <gtest/gtest.h>

#include <array>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class exit_admission_test : public ::testing::Test {
public:
    bool may_send(request_kind kind, std::chrono::milliseconds before_exit,
                  std::chrono::milliseconds usual_time = 200ms,
                  std::chrono::milliseconds time_limit = 10s) const {
        const steady_time now = exit - before_exit;
        return admission.may_send({.kind = kind,
                                   .deadline = now + time_limit,
                                   .usual_time = usual_time},
                                  now);
    }

    steady_time exit{1h};
    exit_admission admission;
};

constexpr std::array all_kinds{request_kind::idempotent,
                               request_kind::at_most_once, request_kind::stream,
                               request_kind::batch, request_kind::sample_batch};

} // namespace

TEST_F(exit_admission_test, all_are_sent_while_no_exit_is_planned) {
    for (const request_kind kind : all_kinds) {
        EXPECT_TRUE(may_send(kind, 0ms, 10s));
    }
    EXPECT_EQ(admission.answer_by(exit), exit);
}

// A planned stop with a grace of 7.3 s: a request of each kind every 100 ms, on
// connections that stay open to the end.
TEST_F(exit_admission_test, kinds_are_refused_in_the_order_of_their_risk) {
    admission.set_exit_time(exit);
    const auto last_sent = [&](request_kind kind) {
        std::chrono::milliseconds left = 7'300ms;
        bool was_refused = false;
        for (auto at = left; at >= 0ms; at -= 100ms) {
            if (!may_send(kind, at)) {
                was_refused = true;
                continue;
            }
            EXPECT_FALSE(was_refused) << "sent after a refusal";
            left = at;
        }
        return left;
    };
    EXPECT_EQ(last_sent(request_kind::stream), 5'100ms);
    EXPECT_EQ(last_sent(request_kind::at_most_once), 2'100ms);
    EXPECT_EQ(last_sent(request_kind::batch), 1'100ms);
    EXPECT_EQ(last_sent(request_kind::sample_batch), 1'100ms);
    EXPECT_EQ(last_sent(request_kind::idempotent), 700ms);
}

TEST_F(exit_admission_test, slow_upstream_gets_its_last_requests_earlier) {
    admission.set_exit_time(exit);
    EXPECT_TRUE(may_send(request_kind::at_most_once, 6'600ms, 800ms));
    EXPECT_FALSE(may_send(request_kind::at_most_once, 6'400ms, 800ms));
    EXPECT_TRUE(may_send(request_kind::idempotent, 2'600ms, 800ms));
    EXPECT_FALSE(may_send(request_kind::idempotent, 2'400ms, 800ms));
}

TEST_F(exit_admission_test, request_that_ends_before_the_exit_is_sent) {
    admission.set_exit_time(exit);
    for (const request_kind kind :
         {request_kind::idempotent, request_kind::at_most_once}) {
        EXPECT_TRUE(may_send(kind, 1'000ms, 800ms, 900ms));
        EXPECT_FALSE(may_send(kind, 1'000ms, 800ms, 901ms));
    }
}

TEST_F(exit_admission_test, nothing_is_sent_once_answers_are_due) {
    admission.set_exit_time(exit);
    for (const request_kind kind : all_kinds) {
        EXPECT_FALSE(may_send(kind, 100ms, 0ms, 1ms));
        EXPECT_FALSE(may_send(kind, -1s, 0ms, 1ms));
    }
    EXPECT_EQ(admission.answer_by(exit + 1s), exit - 100ms);
    EXPECT_EQ(admission.answer_by(exit - 1s), exit - 1s);
}
