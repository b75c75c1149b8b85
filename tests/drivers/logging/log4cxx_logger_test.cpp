#include "core/text_file.hpp"
#include "drivers/logging/log4cxx_logger.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <unistd.h>

using namespace savorydock;

// Keys and texts of other writers are logged.
TEST(log4cxx_logger_test, control_characters_do_not_begin_another_line) {
    const auto file =
        std::filesystem::temp_directory_path() /
        ("log4cxx_logger_test." + std::to_string(::getpid()) + ".log");
    {
        log4cxx_logger log(file.string(), "info", "n");
        log.write(log_event::upstream_entry_ignored,
                  std::string("key=a\r\nforged\x1b[31m\0b\x7f \"", 23));
    }
    const auto text = read_text_file(file.string());
    std::filesystem::remove(file);
    ASSERT_TRUE(text);
    EXPECT_EQ(std::count(text->begin(), text->end(), '\n'), 1) << *text;
    EXPECT_NE(text->find("key=a??forged?[31m?b? \""), std::string::npos)
        << *text;
}
