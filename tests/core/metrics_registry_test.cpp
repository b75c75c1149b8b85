#include "core/metrics_registry.hpp"

#include <gtest/gtest.h>

namespace savorydock {

class metrics_registry_test : public ::testing::Test {
protected:
    void observe(const char* class_of_service, double seconds) {
        registry_.observe({service_name("depth"), class_name(class_of_service),
                           "request_seconds"},
                          std::chrono::duration<double>(seconds));
    }

    [[nodiscard]] bool has_line(const std::string& line) const {
        return ('\n' + registry_.write_text()).find('\n' + line + '\n') !=
               std::string::npos;
    }

    metrics_registry registry_{2};
};

TEST_F(metrics_registry_test, values_are_counted_under_cumulative_bounds) {
    for (const double seconds : {0.001, 0.003, 0.2, 500.0}) {
        observe("planner", seconds);
    }
    const std::string labels = R"({service="depth",class="planner")";
    EXPECT_TRUE(has_line("# TYPE savorydock_request_seconds histogram"));
    for (const auto& [bound, count] : {std::pair("0.001", 1),
                                       {"0.0025", 1},
                                       {"0.005", 2},
                                       {"0.25", 3},
                                       {"180", 3},
                                       {"+Inf", 4}}) {
        EXPECT_TRUE(has_line("savorydock_request_seconds_bucket" + labels +
                             ",le=\"" + bound + "\"} " + std::to_string(count)))
            << bound;
    }
    EXPECT_TRUE(has_line("savorydock_request_seconds_count" + labels + "} 4"));
}

TEST_F(metrics_registry_test, series_beyond_the_limit_are_merged) {
    observe("a", 1);
    observe("b\"\n", 1);
    observe("c", 1);
    observe("d", 1);
    observe("a", 1);
    const std::string name = "savorydock_request_seconds_count";
    EXPECT_TRUE(has_line(name + R"({service="depth",class="a"} 2)"));
    EXPECT_TRUE(has_line(name + R"({service="depth",class="b\"\n"} 1)"));
    EXPECT_TRUE(has_line(name + R"({service="other",class="other"} 2)"));
}

TEST_F(metrics_registry_test, quantiles_of_uniform_values_are_close) {
    latency_histogram histogram;
    EXPECT_EQ(histogram.quantile_values()[0].count(), 0);
    constexpr int values = 10'000;
    for (int step = 0; step < values; ++step) {
        // 7919 and 10,000 are coprime, so each value occurs once, in a
        // scattered order.
        histogram.add(
            std::chrono::duration<double>(step * 7'919 % values / 1'000.0));
    }
    const auto estimates = histogram.quantile_values();
    EXPECT_NEAR(estimates[0].count(), 5, 0.2);
    EXPECT_NEAR(estimates[1].count(), 9, 0.2);
    EXPECT_NEAR(estimates[2].count(), 9.9, 0.1);
}

} // namespace savorydock
