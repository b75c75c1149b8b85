#include "platform/configuration_check.hpp"
#include "platform/json_lines.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace savorydock;
using namespace savorydock::platform;

namespace {

constexpr std::string_view valid_text = R"({
 "version": 7,
 "limits": {"max_body_bytes": 1000},
 "tenants": [
  {"name": "blue", "api_keys": ["blue-key-1"], "priority": 1},
  {"name": "red", "api_keys": ["red-key-1"]}
 ],
 "routes": [
  {"name": "a", "host": "h", "prefix": "/a/", "route_type": "safe",
   "timeout_ms": 900, "target_latency_ms": 300, "service": "plain"},
  {"name": "b", "host": "h", "prefix": "/b/", "route_type": "rollout",
   "backends": [{"service": "model", "weight": 1}]}
 ],
 "services": [
  {"name": "plain", "max_conns": 8},
  {"name": "model", "engine": {"slots": 4},
   "scaling": {"min": 1, "max": 2, "zone_prices": {"z": 0.5}}}
 ]
})";

std::string with(const std::string& from, const std::string& to) {
    std::string text(valid_text);
    const std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

std::string to_line(const located_finding& finding) {
    return std::to_string(finding.line) + " " +
           (finding.severity == finding_severity::error ? "error "
                                                        : "warning ") +
           finding.path;
}

/// A change of the valid text, and the line, severity and path of its finding.
struct fault_case {
    std::string from;
    std::string to;
    std::string finding;
};

TEST(configuration_check_test, each_fault_is_reported_with_path_and_line) {
    const std::vector<fault_case> cases{
        {"\"version\": 7,", "\"version\" 7,", "2 error "},
        {"\"version\": 7,", "", "1 error /version"},
        {"\"version\": 7", "\"version\": -7", "2 error /version"},
        {"\"safe\"", "7", "9 error /routes/0/route_type"},
        {"\"h\", \"prefix\": \"/b/\"", "\"h\", \"prefix\": \"/a/\"",
         "11 warning /routes/1"},
        {"\"/b/\"", "\"b/\"", "11 warning /routes/1/prefix"},
        {"\"/b/\"", "\"/b\"", "11 warning /routes/1/prefix"},
        {"\"host\": \"h\"", "\"host\": \"h:80\"", "9 warning /routes/0/host"},
        {"\"name\": \"b\"", "\"name\": \"a\"", "11 warning /routes/1/name"},
        {"\"timeout_ms\": 900", "\"timeout_ms\": 200",
         "10 error /routes/0/timeout_ms"},
        {"\"timeout_ms\": 900", "\"timeout_ms\": 0",
         "10 error /routes/0/timeout_ms"},
        {"\"timeout_ms\": 900", "\"max_attempts\": 0",
         "10 error /routes/0/max_attempts"},
        {"\"timeout_ms\": 900", "\"priority\": 101",
         "10 error /routes/0/priority"},
        {"\"timeout_ms\": 900", "\"priority\": -1",
         "10 error /routes/0/priority"},
        {"\"timeout_ms\": 900", "\"run_target_ms\": 9000, \"queue_ttl_s\": 4",
         "10 error /routes/0/run_target_ms"},
        {", \"service\": \"plain\"", "", "15 warning /services/0"},
        {"\"service\": \"plain\"", "\"service\": \"plan\"",
         "10 warning /routes/0/service"},
        {"\"weight\": 1}", "\"weight\": 1}, {\"service\": \"x\"}",
         "12 warning /routes/1/backends/1"},
        {"{\"name\": \"plain\"", "{\"name\": \"plain\"}, {\"name\": \"plain\"",
         "15 error /services/1/name"},
        {"\"slots\": 4", "\"slots\": 0", "16 error /services/1/engine/slots"},
        {"\"slots\": 4", "\"stride\": 0", "16 error /services/1/engine/stride"},
        {"\"min\": 1", "\"min\": 3", "17 error /services/1/scaling/min"},
        {"\"min\": 1", "\"spot_price\": -1",
         "17 error /services/1/scaling/spot_price"},
        {"\"min\": 1", "\"spot_price\": 2",
         "17 warning /services/1/scaling/spot_price"},
        {"0.5", "-0.5", "17 error /services/1/scaling/zone_prices"},
        {"1000", "0", "3 error /limits/max_body_bytes"},
        {"\"red-key-1\"", "\"red-key-1\", \"blue-key-1\"",
         "6 error /tenants/1/api_keys/1"},
        {"\"red-key-1\"", "\"red-key-1\", \"red-key-1\"",
         "6 warning /tenants/1/api_keys/1"},
        {"\"red-key-1\"", "\"\"", "6 error /tenants/1/api_keys/0"},
        {"\"red-key-1\"", "", "6 warning /tenants/1/api_keys"},
        {"\"red-key-1\"", "17", "6 error /tenants/1/api_keys/0"},
        {"\"name\": \"red\"", "\"name\": \"blue\"", "6 error /tenants/1/name"},
        {"\"priority\": 1", "\"priority\": 1000",
         "5 error /tenants/0/priority"},
    };
    EXPECT_TRUE(check_configuration(valid_text, std::nullopt).findings.empty());
    for (const fault_case& one : cases) {
        const auto report =
            check_configuration(with(one.from, one.to), std::nullopt);
        std::vector<std::string> found;
        for (const located_finding& finding : report.findings) {
            found.push_back(to_line(finding));
            EXPECT_EQ(finding.text.find("-key-"), std::string::npos);
        }
        EXPECT_NE(std::find(found.begin(), found.end(), one.finding),
                  found.end())
            << one.from << " -> " << one.to << ": "
            << (found.empty() ? "nothing" : found.front());
    }
}

// Guards against a change that is shown as another one because entries moved,
// and against keys in the output.
TEST(configuration_check_test, differences_name_entries_and_hide_keys) {
    const std::string changed =
        with("{\"name\": \"blue\", \"api_keys\": [\"blue-key-1\"], ",
             "{\"name\": \"green\", \"api_keys\": [\"green-key-1\"]},\n"
             "{\"name\": \"blue\", \"api_keys\": [\"blue-key-2\"], ");
    const auto report = check_configuration(changed, std::string(valid_text));
    ASSERT_EQ(report.changes.size(), 3U);
    std::string all;
    for (const configuration_change& change : report.changes) {
        all += change.path + " " + change.before + " " + change.after + "\n";
    }
    EXPECT_EQ(all.find("-key-"), std::string::npos) << all;
    EXPECT_NE(all.find("/tenants/green  {"), std::string::npos) << all;
    ASSERT_EQ(report.findings.size(), 1U);
    EXPECT_EQ(to_line(report.findings.front()), "2 warning /version");
    const auto same = check_configuration(valid_text, std::string(valid_text));
    EXPECT_TRUE(same.changes.empty());
    EXPECT_TRUE(same.findings.empty());
}

// Guards against an out-of-range access in texts that are almost valid.
RC_GTEST_PROP(configuration_check_property, mutated_texts_are_survived,
              (const std::vector<std::pair<std::uint16_t, char>>& edits)) {
    std::string text(valid_text);
    for (const auto& [at, character] : edits) {
        text[at % text.size()] = character;
    }
    const auto report = check_configuration(text, std::string(valid_text));
    for (const located_finding& finding : report.findings) {
        RC_ASSERT(finding.line >= 1U);
        RC_ASSERT(finding.line <= line_at(text, text.size()));
    }
}

// Guards against braces, quotes and line feeds in strings, and escaped names.
TEST(json_lines_test, strings_do_not_disturb_positions) {
    const json_lines lines("{\"a\\\"}\": \"[{\\\\\",\n\n \"b/c~\": [1,\n [],\n"
                           " {\"\\u0064\": null}]}");
    EXPECT_EQ(lines.line_of("/a\"}"), 1U);
    EXPECT_EQ(lines.line_of("/b~1c~0"), 3U);
    EXPECT_EQ(lines.line_of("/b~1c~0/1"), 4U);
    EXPECT_EQ(lines.line_of("/b~1c~0/2/d"), 5U);
    EXPECT_EQ(lines.line_of("/b~1c~0/2/e"), 5U) << "the nearest parent";
}

} // namespace
