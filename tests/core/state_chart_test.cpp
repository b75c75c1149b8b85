#include "core/state_chart.hpp"

#include <gtest/gtest.h>

namespace savorydock {

class state_chart_test : public ::testing::Test {
protected:
    const std::string valid_ = R"({
        "name": "door", "states": ["open", "shut"],
        "events": ["close", "lock"], "initial": "open", "final": ["shut"],
        "transitions": [{"from": "open", "event": "close", "to": "shut"}]
    })";
};

TEST_F(state_chart_test, valid_chart_is_interpreted) {
    const auto chart = state_chart::parse(valid_);
    ASSERT_TRUE(chart) << chart.reason().detail;
    chart_position position(*chart);
    EXPECT_FALSE(position.fire("lock"));
    EXPECT_TRUE(position.is_in("open"));
    EXPECT_TRUE(position.fire("close"));
    EXPECT_TRUE(position.is_final());
}

TEST_F(state_chart_test, chart_without_a_needed_state_is_refused) {
    const auto chart = state_chart::parse(valid_);
    ASSERT_TRUE(chart);
    EXPECT_TRUE(chart->require({"open", "shut"}, {"close", "lock"}));
    const auto checked = chart->require({"open", "ajar"}, {"close", "lock"});
    ASSERT_FALSE(checked);
    EXPECT_EQ(checked.reason().code, result_code::invalid_chart);
}

TEST_F(state_chart_test, faulty_charts_are_errors_and_not_crashes) {
    for (const char* const text :
         {"", "[]", "{}", R"({"name":"x","states":["a"],"events":[],
             "initial":"b","transitions":[]})",
          R"({"name":"x","states":["a","b"],"events":["e"],"initial":"a",
             "transitions":[]})",
          R"({"name":"x","states":["a"],"events":["e"],"initial":"a",
             "final":["a"],
             "transitions":[{"from":"a","event":"e","to":"a"}]})"}) {
        const auto chart = state_chart::parse(text);
        ASSERT_FALSE(chart) << text;
        EXPECT_EQ(chart.reason().code, result_code::invalid_chart);
    }
}

} // namespace savorydock
