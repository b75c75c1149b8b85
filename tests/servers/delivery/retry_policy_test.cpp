#include "servers/delivery/retry_policy.hpp"

#include <gtest/gtest.h>

#include <set>

namespace savorydock {

using namespace std::chrono_literals;

class retry_policy_test : public ::testing::Test {
protected:
    [[nodiscard]] request_retries retries(bool is_idempotent) const {
        return request_retries({.is_idempotent = is_idempotent,
                                .max_attempts = 3,
                                .deadline = now_ + 1s});
    }

    steady_time now_{1h};
    retry_budget budget_{0.5, 2};
    const run_classification refused_ =
        classify_fault(connection_fault::refused);
    const run_classification lost_ =
        classify_fault(connection_fault::closed_in_answer);
};

TEST_F(retry_policy_test, faults_map_to_what_was_handed_to_the_socket) {
    for (const auto fault :
         {connection_fault::refused, connection_fault::unreachable,
          connection_fault::connect_timed_out,
          connection_fault::closed_before_send}) {
        EXPECT_EQ(classify_fault(fault).execution, execution_state::not_begun);
        EXPECT_EQ(classify(classify_fault(fault).code), result_class::not_run);
    }
    for (const auto fault : {connection_fault::closed_after_send,
                             connection_fault::timed_out_after_send,
                             connection_fault::closed_in_answer,
                             connection_fault::answer_not_http}) {
        EXPECT_EQ(classify_fault(fault).execution, execution_state::unknown);
        EXPECT_EQ(classify(classify_fault(fault).code), result_class::unknown);
    }
}

TEST_F(retry_policy_test, only_three_statuses_mean_not_begun) {
    const std::set<std::uint32_t> plain{421, 425};
    const std::set<std::uint32_t> model{421, 425, 429};
    const std::set<std::uint32_t> lost{408, 502, 504};
    for (std::uint32_t status = 100; status < 700; ++status) {
        const auto of_plain = classify_status(status, service_kind::plain);
        const auto of_model = classify_status(status, service_kind::model);
        EXPECT_EQ(of_plain.execution == execution_state::not_begun,
                  plain.contains(status));
        EXPECT_EQ(of_model.execution == execution_state::not_begun,
                  model.contains(status));
        EXPECT_EQ(of_plain.execution == execution_state::unknown,
                  lost.contains(status) || status < 200 || status >= 600);
        EXPECT_EQ(of_plain.code == result_code::ok,
                  status >= 200 && status < 400);
    }
    EXPECT_EQ(classify_status(503, service_kind::model).execution,
              execution_state::unknown);
}

TEST_F(retry_policy_test, non_idempotent_call_is_repeated_only_if_not_begun) {
    auto one = retries(false);
    EXPECT_TRUE(one.decide(refused_, budget_, now_).is_retry);
    const auto decision = one.decide(lost_, budget_, now_);
    EXPECT_FALSE(decision.is_retry);
    EXPECT_EQ(decision.code, result_code::unknown_upstream_lost);
}

TEST_F(retry_policy_test, refusal_after_a_lost_run_stays_unknown) {
    auto one = retries(true);
    EXPECT_TRUE(one.decide(lost_, budget_, now_).is_retry);
    EXPECT_TRUE(one.decide(refused_, budget_, now_).is_retry);
    const auto decision = one.decide(refused_, budget_, now_);
    EXPECT_FALSE(decision.is_retry) << "max_attempts is reached";
    EXPECT_EQ(decision.code, result_code::unknown_upstream_lost);
    EXPECT_EQ(one.final_code(result_code::not_run_deadline),
              result_code::unknown_deadline);
}

TEST_F(retry_policy_test, deadline_partial_delivery_and_answers_stop_retries) {
    EXPECT_FALSE(retries(true).decide(refused_, budget_, now_ + 1s).is_retry);
    auto partly_delivered = retries(true);
    partly_delivered.note_partial_delivery();
    EXPECT_FALSE(partly_delivered.decide(lost_, budget_, now_).is_retry);
    EXPECT_FALSE(
        retries(true)
            .decide(classify_status(404, service_kind::plain), budget_, now_)
            .is_retry);
}

TEST_F(retry_policy_test, budget_is_a_fraction_of_first_runs) {
    for (int i = 0; i < 2; ++i) {
        EXPECT_TRUE(retries(true).decide(refused_, budget_, now_).is_retry);
    }
    EXPECT_FALSE(retries(true).decide(refused_, budget_, now_).is_retry);
    budget_.earn();
    EXPECT_FALSE(retries(true).decide(refused_, budget_, now_).is_retry);
    budget_.earn();
    EXPECT_TRUE(retries(true).decide(refused_, budget_, now_).is_retry);
}

} // namespace savorydock
