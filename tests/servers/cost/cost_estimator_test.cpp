#include "servers/cost/cost_estimator.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class cost_estimator_test : public ::testing::Test {
public:
    void learn(const request_features& features, std::chrono::milliseconds time,
               int times) {
        for (int call = 0; call < times; ++call) {
            estimator.learn(estimator.estimate(service, features), time);
        }
    }

    std::chrono::microseconds expect(const request_features& features) {
        return estimator.estimate(service, features).expected;
    }

    service_name service{"desk"};
    cost_estimator estimator{{}};
    request_features small{.route = "r", .prompt_tokens = 100};
    request_features large{.route = "r", .prompt_tokens = 4'000};
};

} // namespace

// Guards against an estimate of zero before the first answer, which would send
// all first calls to one upstream.
TEST_F(cost_estimator_test, request_without_samples_costs_the_default) {
    EXPECT_EQ(expect(small), 50ms);
}

TEST_F(cost_estimator_test, unknown_class_costs_as_its_route_then_its_service) {
    learn({.route = "s"}, 20ms, 8);
    EXPECT_EQ(expect(small), 20ms);
    learn(large, 200ms, 8);
    EXPECT_EQ(expect(small), 200ms);
}

// Load: calls of 25 and 200 ms on one route.
TEST_F(cost_estimator_test, sizes_separate_calls_of_one_route) {
    for (int round = 0; round < 10; ++round) {
        learn(small, 25ms, 3);
        learn(large, 200ms, 1);
    }
    EXPECT_EQ(expect(small), 25ms);
    EXPECT_EQ(expect(large), 200ms);
    EXPECT_FALSE(estimator.estimate(service, small).is_large);
    EXPECT_TRUE(estimator.estimate(service, large).is_large);
}

// Load: one call in a hundred takes five times as long.
TEST_F(cost_estimator_test, long_tail_changes_the_estimate_little) {
    for (int round = 0; round < 4; ++round) {
        learn(small, 25ms, 99);
        learn(small, 125ms, 1);
    }
    EXPECT_LT(expect(small), 30ms);
}

TEST_F(cost_estimator_test, wrong_estimate_is_corrected_within_some_tens) {
    learn(small, 25ms, 500);
    learn(small, 250ms, 70);
    EXPECT_GT(expect(small), 240ms);
}

// Guards against a single sample that makes a class look a thousand times as
// expensive.
TEST_F(cost_estimator_test, outlier_is_bounded_by_the_median) {
    learn(small, 10ms, 10);
    learn(small, 100'000ms, 1);
    EXPECT_LE(expect(small), 101ms);
}

// Load: callers that state a new size with each request.
TEST_F(cost_estimator_test, number_of_classes_is_bounded) {
    for (std::size_t length = 0; length < 1'000; ++length) {
        learn({.route = "r", .length_hint = "h" + std::to_string(length)}, 20ms,
              1);
    }
    EXPECT_EQ(estimator.classes(), cost_estimator_options().max_classes);
}
