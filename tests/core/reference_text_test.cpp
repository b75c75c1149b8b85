#include "core/log_event.hpp"
#include "core/reference_text.hpp"
#include "core/result_code.hpp"
#include "core/text_file.hpp"

#include <gtest/gtest.h>

#include <set>

namespace savorydock {

class reference_text_test : public ::testing::Test {
protected:
    static std::string read_page(const std::string& name) {
        const auto text = read_text_file(std::string(SAVORYDOCK_SOURCE_DIR) +
                                         "/docs/" + name);
        return text ? *text : text.reason().detail;
    }
};

TEST_F(reference_text_test, result_code_page_agrees_with_the_source) {
    EXPECT_EQ(read_page("RESULT_CODES.md"), write_result_code_reference());
}

TEST_F(reference_text_test, log_event_page_agrees_with_the_source) {
    EXPECT_EQ(read_page("LOG_EVENTS.md"), write_log_event_reference());
}

TEST_F(reference_text_test, numbers_and_names_are_unique_and_ascend) {
    std::set<std::string_view> names;
    int last = -1;
    for (const result_code_entry& entry : all_result_codes()) {
        EXPECT_TRUE(names.insert(entry.name).second) << entry.name;
        EXPECT_GT(static_cast<int>(entry.code), last) << entry.name;
        last = static_cast<int>(entry.code);
    }
    names.clear();
    last = -1;
    for (const log_event_entry& entry : all_log_events()) {
        EXPECT_TRUE(names.insert(entry.name).second) << entry.name;
        EXPECT_GT(static_cast<int>(entry.event), last) << entry.name;
        last = static_cast<int>(entry.event);
    }
}

} // namespace savorydock
