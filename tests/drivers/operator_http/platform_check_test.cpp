#include "drivers/operator_http/platform_check.hpp"
#include "tests/fakes/fake_users_store.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

namespace savorydock {

namespace {

namespace json = boost::json;

constexpr auto text = R"({"version": 2,
"tenants": [{"name": "blue", "api_keys": ["secret-blue"]}],
"routes": [{"host": "h", "prefix": "/a/", "route_type": "safe",
 "service": "s"}],
"services": [{"name": "s"}]})";

class platform_check_test : public ::testing::Test {
public:
    platform_check_test() {
        folder = std::filesystem::temp_directory_path() /
                 ("platform_check_" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder);
    }
    ~platform_check_test() override { std::filesystem::remove_all(folder); }

    std::string write(const std::string& name, const std::string& content) {
        const std::string file = folder / name;
        std::ofstream(file) << content;
        return file;
    }

    static std::string replaced(std::string content, const std::string& from,
                                const std::string& to) {
        return content.replace(content.find(from), from.size(), to);
    }

    /// Runs the command and keeps its output, which never shows a key.
    int check(const std::string& file, operator_command_line line = {}) {
        line.arguments = {"check", file};
        line.is_platform_form = true;
        ::testing::internal::CaptureStdout();
        ::testing::internal::CaptureStderr();
        const int code = run_operator_command(line);
        output = ::testing::internal::GetCapturedStdout() +
                 ::testing::internal::GetCapturedStderr();
        EXPECT_EQ(output.find("secret"), std::string::npos) << output;
        return code;
    }

    std::filesystem::path folder;
    std::string output;
};

TEST_F(platform_check_test, exit_code_is_that_of_the_worst_finding) {
    EXPECT_EQ(check(write("valid", text)), 0);
    EXPECT_EQ(check(write("warning", replaced(text, "\"/a/\"", "\"/a\""))), 1);
    EXPECT_NE(output.find("warning:3: warning: /routes/0/prefix: "),
              std::string::npos)
        << output;
    EXPECT_EQ(check(write("error", replaced(text, "]}],",
                                            ",\"secret-blue\"]},{"
                                            "\"name\":\"red\","
                                            "\"api_keys\":["
                                            "\"secret-blue\"]}],"))),
              2);
    EXPECT_EQ(check(write("broken", "{\"tenants\": \"secret")), 2);
    EXPECT_EQ(check(folder / "missing"), 2);
}

TEST_F(platform_check_test, differences_from_a_file_are_printed_as_json) {
    const std::string old = write(
        "old", replaced(replaced(text, "\"version\": 2", "\"version\": 1"),
                        "secret-blue", "secret-old"));
    EXPECT_EQ(check(write("new", text), {.is_json = true, .against = old}), 0);
    const json::value answer = json::parse(output);
    EXPECT_TRUE(answer.at("findings").as_array().empty());
    EXPECT_EQ(answer.at("changes").as_array().size(), 3U) << output;
    EXPECT_EQ(check(write("new", text), {.against = folder / "missing"}), 2);
}

TEST_F(platform_check_test, version_in_force_is_read_from_the_store) {
    fake_users_store store;
    const std::string address = to_text(store.address());
    EXPECT_EQ(check(write("new", text), {.platform = address}), 7);
    store.put("op/config", replaced(text, "\"version\": 2", "\"version\": 1"));
    EXPECT_EQ(check(write("new", text), {.platform = address}), 0);
    EXPECT_NE(output.find("changed /version: 1 -> 2"), std::string::npos)
        << output;
    store.set_refusing(true);
    EXPECT_EQ(check(write("new", text), {.platform = address}), 6);
}

} // namespace

} // namespace savorydock
