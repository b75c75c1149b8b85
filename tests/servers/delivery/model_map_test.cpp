#include "core/text_file.hpp"
#include "servers/delivery/key_ledger.hpp"
#include "servers/delivery/step_charts.hpp"

#include <gtest/gtest.h>

#include <set>
#include <sstream>

namespace savorydock {

namespace {

const std::string root = SAVORYDOCK_SOURCE_DIR;

/// The names in the lines "transition:" and "not modelled:" of a model.
std::multiset<std::string> names_of_model(const std::string& file) {
    std::multiset<std::string> names;
    std::istringstream text(*read_text_file(root + "/docs/models/" + file));
    for (std::string line; std::getline(text, line);) {
        for (const std::string mark : {"* transition: ", "* not modelled: "}) {
            const auto found = line.find(mark);
            if (found != std::string::npos) {
                std::istringstream rest(line.substr(found + mark.size()));
                for (std::string name; rest >> name;) {
                    names.insert(name);
                }
            }
        }
    }
    return names;
}

} // namespace

TEST(model_map_test, step_model_names_every_event_of_both_charts) {
    const auto charts = step_charts::load(root + "/charts");
    ASSERT_TRUE(charts) << charts.reason().detail;
    std::multiset<std::string> events(charts->slot.events().begin(),
                                      charts->slot.events().end());
    events.insert(charts->step.events().begin(), charts->step.events().end());
    EXPECT_EQ(names_of_model("step_session.pml"), events);
}

TEST(model_map_test, key_model_names_every_transition_of_the_ledger) {
    const std::multiset<std::string> changes{"begin", "grant",      "refuse",
                                             "adopt", "note_claim", "finish",
                                             "fail",  "hand_over"};
    EXPECT_EQ(names_of_model("at_most_once.pml"), changes);
    std::istringstream header(
        *read_text_file(root + "/servers/delivery/key_ledger.hpp"));
    const std::string text = header.str();
    const std::string interface =
        text.substr(0, text.find("key_record find(const"));
    for (const std::string& name : changes) {
        EXPECT_NE(interface.find(' ' + name + "(const call_key&"),
                  std::string::npos)
            << name;
    }
}

TEST(model_map_test, request_chart_is_sound) {
    const auto chart = state_chart::load(root + "/charts/request_life.json");
    ASSERT_TRUE(chart) << chart.reason().detail;
    // After bytes were handed to the socket, only a refusal by the upstream may
    // end the request as "not run".
    EXPECT_FALSE(
        chart->next(chart->state("streaming"), chart->event("refuse")));
    EXPECT_FALSE(chart->next(chart->state("streaming"), chart->event("retry")));
}

} // namespace savorydock
