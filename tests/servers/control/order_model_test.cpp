#include "core/text_file.hpp"
#include "servers/control/order_tracker.hpp"

#include <gtest/gtest.h>

#include <regex>
#include <set>

namespace savorydock {

class order_model_test : public ::testing::Test {
protected:
    void SetUp() override {
        const std::string root = SAVORYDOCK_SOURCE_DIR;
        const auto text =
            read_text_file(root + "/docs/models/orders_fencing.pml");
        const auto chart = state_chart::load(root + "/charts/order_life.json");
        ASSERT_TRUE(text && chart) << chart.reason().detail;
        model_ = *text;
        chart_ = *chart;
    }
    [[nodiscard]] bool has_word(const std::string& word) const {
        return std::regex_search(model_, std::regex("\\b" + word + "\\b"));
    }

    std::string model_;
    state_chart chart_;
};

TEST_F(order_model_test, chart_has_what_the_code_relies_on) {
    const auto checked = order_tracker::check_chart(chart_);
    EXPECT_TRUE(checked) << checked.reason().detail;
}

TEST_F(order_model_test, model_names_every_transition_of_the_chart) {
    for (const std::string& event : chart_.events()) {
        EXPECT_TRUE(has_word(event)) << event;
    }
}

TEST_F(order_model_test, model_and_chart_have_the_same_states) {
    std::smatch list;
    ASSERT_TRUE(std::regex_search(model_, list,
                                  std::regex("mtype = \\{ (out,[^}]*)\\}")));
    std::set<std::string> states;
    const std::string names = list[1];
    const std::regex word("[a-z_]+");
    for (std::sregex_iterator it(names.begin(), names.end(), word), end;
         it != end; ++it) {
        states.insert(it->str());
    }
    states.erase("out");
    EXPECT_EQ(states, std::set<std::string>(chart_.states().begin(),
                                            chart_.states().end()));
}

} // namespace savorydock
