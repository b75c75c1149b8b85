#include "drivers/operator_http/publish_command.hpp"

#include "drivers/platform_kv/publish_wait.hpp"
#include "drivers/platform_kv/publisher.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace savorydock {

namespace json = boost::json;

namespace {

/// Returns the name recorded as publisher: --operator_name, or else $USER.
std::string operator_of(const operator_command_line& line) {
    if (!line.operator_name.empty()) {
        return line.operator_name;
    }
    const char* const user = std::getenv("USER");
    return user != nullptr ? user : "unknown";
}

outcome<publisher_options> options_of(const operator_command_line& line) {
    const auto platform = parse_endpoints(line.platform);
    if (!platform) {
        return failure{result_code::invalid_settings,
                       "--platform: " + platform.reason().detail};
    }
    return publisher_options{.platform = *platform,
                             .operator_name = operator_of(line),
                             .timeout = line.timeout};
}

std::vector<std::string> files_of(const operator_command_line& line) {
    return {line.arguments.begin() + 1, line.arguments.end()};
}

json::object to_json(const service_publish& published) {
    const publish_result& result = published.result;
    return {
        {"service", published.service.text()},
        {"code", static_cast<unsigned>(result.code)},
        {"name", name_of(result.code)},
        {"revision", result.revision},
        {"replaced", result.replaced},
        {"unchanged", result.is_unchanged},
        {"overtaken", result.is_overtaken},
        {"other_operator", result.other_operator},
        {"other_revision", result.other_revision},
        {"difference", result.difference},
        {"detail", result.detail},
    };
}

void print(const service_publish& published) {
    const publish_result& result = published.result;
    std::cout << published.service.text() << ": ";
    if (result.code == result_code::ok) {
        std::cout << (result.is_unchanged ? "unchanged at" : "in revision")
                  << ' ' << result.revision
                  << (result.is_overtaken ? ", replaced since" : "") << '\n';
        return;
    }
    std::cout << name_of(result.code) << " ("
              << static_cast<unsigned>(result.code) << ") " << result.detail;
    if (!result.other_operator.empty()) {
        std::cout << " by " << result.other_operator << " in revision "
                  << result.other_revision;
    }
    std::cout << '\n' << result.difference;
}

exit_code wait_for(const operator_command_line& line,
                   const std::vector<service_publish>& published) {
    const auto instances = parse_endpoints(line.operator_address);
    if (!instances) {
        return fail_usage("--wait needs --operator_address: " +
                          instances.reason().detail);
    }
    std::vector<awaited_revision> revisions;
    revisions.reserve(published.size());
    for (const service_publish& one : published) {
        revisions.push_back(
            {.service = one.service, .revision = one.result.revision});
    }
    const auto progress = wait_for_revisions(*instances, line.operator_key,
                                             revisions, line.timeout);
    bool has_all = true;
    for (const instance_progress& one : progress) {
        has_all = has_all && one.has_all_revisions;
        std::cout << to_text(one.address) << ' ' << one.instance << ": "
                  << (one.has_all_revisions ? "in force" : one.detail) << '\n';
    }
    return has_all ? exit_code::ok : exit_code::unknown;
}

} // namespace

exit_code run_publish(const operator_command_line& line) {
    if (line.arguments.size() < 2) {
        return fail_usage("publish: expected FILE...");
    }
    const auto options = options_of(line);
    if (!options) {
        return fail_usage(options.reason().detail);
    }
    publisher target(*options);
    const auto published = target.publish_files(files_of(line));
    if (!published) {
        return fail_command(published.reason());
    }
    exit_code worst = exit_code::ok;
    json::array list;
    list.reserve(published->size());
    for (const service_publish& one : *published) {
        worst = std::max(worst, exit_code_of(one.result.code));
        list.push_back(to_json(one));
        if (!line.is_json) {
            print(one);
        }
    }
    if (line.is_json) {
        std::cout << json::serialize(list) << '\n';
    }
    if (line.is_waiting && worst == exit_code::ok) {
        return wait_for(line, *published);
    }
    return worst;
}

exit_code run_diff(const operator_command_line& line) {
    if (line.arguments.size() < 2) {
        return fail_usage("diff: expected FILE...");
    }
    const auto options = options_of(line);
    if (!options) {
        return fail_usage(options.reason().detail);
    }
    publisher target(*options);
    const auto differences = target.diff_files(files_of(line));
    if (!differences) {
        return fail_command(differences.reason());
    }
    for (const service_difference& one : *differences) {
        std::cout << one.service.text() << ": "
                  << (one.revision == 0
                          ? "not in the store"
                          : "revision " + std::to_string(one.revision) +
                                " by " + one.operator_name)
                  << (one.difference.empty() ? ", equal\n" : "\n")
                  << one.difference;
    }
    return exit_code::ok;
}

exit_code run_delete(const operator_command_line& line) {
    if (line.arguments.size() != 2) {
        return fail_usage("delete: expected one SERVICE");
    }
    const auto options = options_of(line);
    if (!options) {
        return fail_usage(options.reason().detail);
    }
    publisher target(*options);
    const auto deleted = target.delete_service(service_name(line.arguments[1]));
    print(deleted);
    return exit_code_of(deleted.result.code);
}

} // namespace savorydock
