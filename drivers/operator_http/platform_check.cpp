#include "drivers/operator_http/platform_check.hpp"

#include "core/endpoint.hpp"
#include "core/text_file.hpp"
#include "drivers/store/store_client.hpp"
#include "platform/configuration_check.hpp"
#include "platform/configuration_codec.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <iostream>
#include <optional>

namespace savorydock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr int exit_warnings = 1;
constexpr int exit_errors = 2;

/// Reads the configuration in force. Errors: `platform_unreachable`,
/// `not_found`, `invalid_settings`.
outcome<std::string> read_in_force(const operator_command_line& line) {
    const auto addresses = parse_endpoints(line.platform);
    if (!addresses) {
        return failure{result_code::invalid_settings,
                       "--platform: " + addresses.reason().detail};
    }
    asio::io_context context;
    null_logger log;
    store_client store(context, {.address = addresses->front()}, log);
    std::optional<outcome<std::optional<stored_value>>> answer;
    const auto read = [&]() -> asio::awaitable<void> {
        std::string key(platform::configuration_key);
        answer = co_await store.read_key(std::move(key));
        context.stop();
    };
    asio::co_spawn(context, read(), asio::detached);
    context.run_for(line.timeout);
    if (!answer || !*answer) {
        return failure{result_code::platform_unreachable,
                       answer ? answer->reason().detail : "no answer in time"};
    }
    if (!**answer) {
        return failure{result_code::not_found,
                       "the store has no configuration"};
    }
    return (**answer)->value;
}

outcome<std::optional<std::string>>
text_in_force(const operator_command_line& line) {
    if (line.against.empty() && line.platform.empty()) {
        return std::optional<std::string>();
    }
    auto text = line.against.empty() ? read_in_force(line)
                                     : read_text_file(line.against);
    if (!text) {
        return text.reason();
    }
    return std::optional(std::move(*text));
}

std::string name_of(finding_severity severity) {
    return severity == finding_severity::error ? "error" : "warning";
}

void print_json(const platform::configuration_report& report) {
    json::array findings;
    for (const platform::located_finding& finding : report.findings) {
        findings.push_back(json::object{{"severity", name_of(finding.severity)},
                                        {"path", finding.path},
                                        {"line", finding.line},
                                        {"text", finding.text}});
    }
    json::array changes;
    for (const platform::configuration_change& change : report.changes) {
        changes.push_back(json::object{{"path", change.path},
                                       {"before", change.before},
                                       {"after", change.after}});
    }
    std::cout << json::serialize(
                     json::object{{"findings", findings}, {"changes", changes}})
              << '\n';
}

void print_text(const std::string& file,
                const platform::configuration_report& report) {
    for (const platform::located_finding& finding : report.findings) {
        std::cout << file << ':' << finding.line << ": "
                  << name_of(finding.severity) << ": "
                  << (finding.path.empty() ? "" : finding.path + ": ")
                  << finding.text << '\n';
    }
    for (const platform::configuration_change& change : report.changes) {
        std::cout << "changed " << change.path << ": "
                  << (change.before.empty() ? "none" : change.before) << " -> "
                  << (change.after.empty() ? "none" : change.after) << '\n';
    }
    if (report.findings.empty()) {
        std::cout << file << ": valid\n";
    }
}

} // namespace

int run_platform_check(const operator_command_line& line) {
    if (line.arguments.size() != 2) {
        return static_cast<int>(
            fail_usage("check --platform_form: expected one FILE"));
    }
    if (!line.against.empty() && !line.platform.empty()) {
        return static_cast<int>(
            fail_usage("check: expected --against or --platform, not both"));
    }
    const std::string& file = line.arguments[1];
    const auto text = read_text_file(file);
    if (!text) {
        fail_command(text.reason());
        return exit_errors;
    }
    const auto in_force = text_in_force(line);
    if (!in_force) {
        const exit_code code = fail_command(in_force.reason());
        return line.against.empty() ? static_cast<int>(code) : exit_errors;
    }
    const auto report = platform::check_configuration(*text, *in_force);
    if (line.is_json) {
        print_json(report);
    } else {
        print_text(file, report);
    }
    const bool has_errors =
        std::any_of(report.findings.begin(), report.findings.end(),
                    [](const auto& finding) {
                        return finding.severity == finding_severity::error;
                    });
    if (has_errors) {
        return exit_errors;
    }
    return report.findings.empty() ? 0 : exit_warnings;
}

} // namespace savorydock
