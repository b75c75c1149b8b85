#include "drivers/operator_http/operator_command.hpp"

#include "core/reference_text.hpp"
#include "core/service_document.hpp"
#include "core/text_file.hpp"
#include "drivers/http/http_client.hpp"
#include "drivers/operator_http/command_result.hpp"
#include "drivers/operator_http/explain_text.hpp"
#include "drivers/operator_http/platform_check.hpp"
#include "drivers/operator_http/publish_command.hpp"

#include <boost/json.hpp>

#include <functional>
#include <iostream>
#include <map>

namespace savorydock {

namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;

/// Calls the operators' interface of the first instance in the address list.
outcome<json::object> ask_instance(const operator_command_line& line,
                                   std::string method, std::string target) {
    const auto addresses = parse_endpoints(line.operator_address);
    if (!addresses) {
        return failure{result_code::invalid_settings,
                       "--operator_address: " + addresses.reason().detail};
    }
    const endpoint& address = addresses->front();
    const auto answer = call_blocking(
        address,
        {.method = std::move(method),
         .target = std::move(target),
         .headers = {{"Authorization", "Bearer " + line.operator_key}}},
        line.timeout);
    if (!answer) {
        return failure{answer.reason().code,
                       to_text(address) + ": " + answer.reason().detail};
    }
    json::error_code error;
    const json::value body = json::parse(answer->body, error);
    if (error || !body.is_object()) {
        return failure{result_code::invalid_json,
                       "the response is not a JSON object"};
    }
    if (answer->status != status_ok) {
        return failure{result_code::not_run_unauthorized,
                       "HTTP status " + std::to_string(answer->status) + ": " +
                           answer->body};
    }
    return body.get_object();
}

exit_code print_answer(
    const operator_command_line& line, const outcome<json::object>& answer,
    const std::function<std::string(const json::object&)>& to_readable) {
    if (!answer) {
        return fail_command(answer.reason());
    }
    std::cout << (line.is_json ? json::serialize(*answer) + "\n"
                               : to_readable(*answer));
    return exit_code::ok;
}

exit_code run_check(const operator_command_line& line) {
    if (line.arguments.size() < 2) {
        return fail_usage("check: expected FILE...");
    }
    exit_code result = exit_code::ok;
    for (std::size_t i = 1; i < line.arguments.size(); ++i) {
        const std::string& file = line.arguments[i];
        const auto text = read_text_file(file);
        if (!text) {
            result = fail_command(text.reason());
            continue;
        }
        const auto document = parse_service_document(*text);
        if (!document) {
            std::cerr << file << ":\n" << document.reason().detail << '\n';
            result = exit_code::invalid_document;
            continue;
        }
        std::cout << file << ": valid, service " << document->service.text()
                  << '\n';
    }
    return result;
}

exit_code run_status(const operator_command_line& line) {
    return print_answer(
        line, ask_instance(line, "GET", "/v1/status"),
        [](const json::object& status) { return status_to_text(status); });
}

exit_code run_explain(const operator_command_line& line) {
    if (line.arguments.size() != 2) {
        return fail_usage("explain: expected one REQUEST_ID");
    }
    const auto answer =
        ask_instance(line, "GET", "/v1/explain/" + line.arguments[1]);
    const exit_code printed =
        print_answer(line, answer, [](const json::object& found) {
            return explanation_to_text(found);
        });
    if (printed == exit_code::ok && answer->at("records").as_array().empty()) {
        return exit_code::not_found;
    }
    return printed;
}

exit_code run_drain(const operator_command_line& line) {
    return print_answer(
        line, ask_instance(line, "POST", "/v1/drain"),
        [](const json::object&) { return std::string("draining\n"); });
}

exit_code run_clear(const operator_command_line& line) {
    if (line.arguments.size() != 2) {
        return fail_usage("clear: expected one FINGERPRINT");
    }
    return print_answer(
        line, ask_instance(line, "POST", "/v1/clear/" + line.arguments[1]),
        [](const json::object& answer) {
            return json::serialize(answer) + "\n";
        });
}

exit_code run_version(const operator_command_line&) {
    std::cout << "savorydock " << SAVORYDOCK_VERSION << '\n';
    return exit_code::ok;
}

exit_code run_reference(const operator_command_line& line) {
    const std::string topic =
        line.arguments.size() == 2 ? line.arguments[1] : "";
    if (topic == "codes") {
        std::cout << write_result_code_reference();
    } else if (topic == "events") {
        std::cout << write_log_event_reference();
    } else {
        return fail_usage("reference: expected codes or events");
    }
    return exit_code::ok;
}

using subcommand = std::function<exit_code(const operator_command_line&)>;

/// All subcommands by name; register new subcommands here.
const std::map<std::string, subcommand>& subcommands() {
    static const std::map<std::string, subcommand> table{
        {"check", run_check},         {"publish", run_publish},
        {"diff", run_diff},           {"delete", run_delete},
        {"status", run_status},       {"explain", run_explain},
        {"drain", run_drain},         {"clear", run_clear},
        {"reference", run_reference}, {"version", run_version},
    };
    return table;
}

} // namespace

std::string operator_usage() {
    return "publishes services and inspects instances\n\n"
           "  savorydock check FILE...        check service files\n"
           "  savorydock check --platform_form FILE\n"
           "                                  check a platform configuration\n"
           "  savorydock diff FILE...         show what publish would change\n"
           "  savorydock publish FILE...      publish service files\n"
           "  savorydock delete SERVICE       remove a service\n"
           "  savorydock status               show the state of an instance\n"
           "  savorydock explain REQUEST_ID   show decisions on a request\n"
           "  savorydock clear FINGERPRINT    allow a held request to run\n"
           "  savorydock drain                drain and stop an instance\n"
           "  savorydock reference TOPIC      list all codes or events\n"
           "  savorydock version              show the version\n\n"
           "check, reference and version need no flags; publish, diff and "
           "delete need --platform; the "
           "others "
           "need\n--operator_address and --operator_key. --json prints JSON. "
           "Exit codes: 0 success,\n1 failed, 2 usage, 3 invalid document, 4 "
           "conflict, 5 outcome unknown,\n6 unreachable, 7 not found. "
           "check --platform_form: 1 warnings, 2 errors.";
}

int run_operator_command(const operator_command_line& line) {
    if (line.arguments.empty()) {
        return static_cast<int>(fail_usage("expected a subcommand"));
    }
    if (line.is_platform_form && line.arguments.front() == "check") {
        return run_platform_check(line);
    }
    const auto found = subcommands().find(line.arguments.front());
    if (found == subcommands().end()) {
        return static_cast<int>(
            fail_usage("no subcommand " + line.arguments.front()));
    }
    return static_cast<int>(found->second(line));
}

} // namespace savorydock
