#include "servers/delivery/key_ledger.hpp"

#include <gtest/gtest.h>

namespace savorydock {

using namespace std::chrono_literals;

class key_ledger_test : public ::testing::Test {
protected:
    [[nodiscard]] static call_key key(int number) {
        return {service_name("s"), caller_id("c"),
                idempotency_key(std::to_string(number))};
    }

    key_verdict begin(call_attempt attempt) {
        return ledger_.begin(key_, attempt, now_).verdict;
    }

    key_ledger ledger_{{.max_records = 32, .retention = 10s}};
    const call_key key_ = key(1);
    steady_time now_{};
};

TEST_F(key_ledger_test, finished_key_answers_every_repeat_the_same) {
    ASSERT_EQ(begin(1), key_verdict::run);
    EXPECT_EQ(begin(2), key_verdict::in_progress);
    ledger_.finish(key_, {.status = 201, .body = "id 7"}, now_);
    for (const call_attempt attempt : {1, 2, 3, 0}) {
        const auto decision = ledger_.begin(key_, attempt, now_);
        EXPECT_EQ(decision.verdict, key_verdict::answer_from_record);
        EXPECT_EQ(decision.record.answer->body, "id 7");
    }
    ledger_.fail(key_, result_code::not_run_deadline, now_);
    EXPECT_EQ(begin(4), key_verdict::answer_from_record);
}

TEST_F(key_ledger_test, later_attempt_of_forgotten_key_must_acquire_right) {
    EXPECT_EQ(begin(2), key_verdict::acquire_right);
    EXPECT_EQ(begin(3), key_verdict::in_progress);
    ledger_.refuse(key_, result_code::unknown_attempt_not_remembered, false,
                   now_);
    EXPECT_EQ(begin(2), key_verdict::answer_from_record);
    EXPECT_EQ(begin(3), key_verdict::acquire_right);
    EXPECT_TRUE(ledger_.grant(key_, now_));
    EXPECT_FALSE(ledger_.grant(key_, now_));
    EXPECT_EQ(ledger_.find(key_).state, key_state::running);
}

TEST_F(key_ledger_test, not_run_gives_the_right_to_one_later_attempt) {
    ASSERT_EQ(begin(1), key_verdict::run);
    ledger_.fail(key_, result_code::not_run_no_upstream, now_);
    EXPECT_EQ(begin(1), key_verdict::answer_from_record)
        << "a late duplicate of attempt 1";
    EXPECT_EQ(begin(2), key_verdict::run);
    EXPECT_EQ(begin(3), key_verdict::in_progress);
    ledger_.fail(key_, result_code::unknown_upstream_lost, now_);
    EXPECT_EQ(begin(3), key_verdict::answer_from_record);
}

TEST_F(key_ledger_test, right_to_run_is_handed_over_once) {
    ASSERT_EQ(begin(1), key_verdict::run);
    EXPECT_EQ(ledger_.hand_over(key_, "b:1", 2, "", now_).state,
              key_state::running);
    ledger_.fail(key_, result_code::not_run_no_upstream, now_);
    EXPECT_EQ(ledger_.hand_over(key_, "b:1", 1, "", now_).state,
              key_state::not_run)
        << "only a later attempt may receive the right";
    EXPECT_EQ(ledger_.hand_over(key_, "b:2", 2, "", now_).transferred_to,
              "b:2");
    EXPECT_EQ(ledger_.hand_over(key_, "c:1", 3, "", now_).transferred_to,
              "b:2");
    EXPECT_EQ(begin(2), key_verdict::answer_from_record);
    EXPECT_EQ(begin(4), key_verdict::acquire_right);
    EXPECT_EQ(ledger_.hand_over(key_, "b:2", 2, "", now_).state,
              key_state::acquiring_right)
        << "a duplicate query gets nothing once this instance acquires the "
           "right again";
}

TEST_F(key_ledger_test, claimed_key_is_handed_over_only_with_its_nonce) {
    ASSERT_EQ(begin(0), key_verdict::acquire_right);
    ledger_.note_claim(key_, "a/1");
    ledger_.refuse(key_, result_code::not_run_platform_unavailable, true, now_);
    EXPECT_EQ(ledger_.hand_over(key_, "b:1", 0, "a/0", now_).state,
              key_state::not_run);
    EXPECT_EQ(ledger_.hand_over(key_, "b:1", 0, "a/1", now_).state,
              key_state::transferred);
}

TEST_F(key_ledger_test, eviction_spares_running_keys_and_bounds_the_rest) {
    std::vector<call_key> running;
    for (int number = 0; number < 200; ++number) {
        const auto decision = ledger_.begin(key(number), 1, now_);
        if (decision.verdict == key_verdict::run && number % 9 == 0) {
            running.push_back(key(number));
        } else if (decision.verdict == key_verdict::run) {
            ledger_.finish(key(number), {.body = "x"}, now_);
        }
    }
    EXPECT_LE(ledger_.size(), 32U);
    ASSERT_FALSE(running.empty());
    for (const call_key& kept : running) {
        EXPECT_EQ(ledger_.find(kept).state, key_state::running);
    }
}

TEST_F(key_ledger_test, record_past_its_retention_is_evicted) {
    ASSERT_EQ(begin(1), key_verdict::run);
    ledger_.finish(key_, {.body = "x"}, now_);
    now_ += 10s;
    for (int number = 100; number < 200; ++number) {
        static_cast<void>(ledger_.begin(key(number), 1, now_));
    }
    EXPECT_EQ(ledger_.find(key_).state, key_state::forgotten);
}

TEST_F(key_ledger_test, answer_too_large_to_keep_is_reported_as_run) {
    key_ledger small({.max_one_answer_bytes = 4});
    ASSERT_EQ(small.begin(key_, 1, now_).verdict, key_verdict::run);
    small.finish(key_, {.body = "12345"}, now_);
    EXPECT_EQ(code_of(small.begin(key_, 2, now_).record),
              result_code::answer_not_kept);
}

} // namespace savorydock
