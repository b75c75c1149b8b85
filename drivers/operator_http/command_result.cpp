#include "drivers/operator_http/command_result.hpp"

#include <iostream>

namespace savorydock {

exit_code exit_code_of(result_code code) {
    switch (code) {
    case result_code::ok:
        return exit_code::ok;
    case result_code::invalid_settings:
        return exit_code::usage;
    case result_code::invalid_document:
    case result_code::invalid_json:
        return exit_code::invalid_document;
    case result_code::publish_conflict:
        return exit_code::conflict;
    case result_code::publish_unknown:
        return exit_code::unknown;
    case result_code::platform_unreachable:
    case result_code::not_run_no_upstream:
    case result_code::unknown_upstream_lost:
    case result_code::unknown_deadline:
        return exit_code::unreachable;
    case result_code::not_found:
        return exit_code::not_found;
    default:
        return exit_code::failed;
    }
}

exit_code fail_command(const failure& reason) {
    std::cerr << name_of(reason.code) << " ("
              << static_cast<unsigned>(reason.code) << "): " << reason.detail
              << '\n';
    return exit_code_of(reason.code);
}

exit_code fail_usage(const std::string& text) {
    std::cerr << "savorydock: " << text << "; see savorydock --help\n";
    return exit_code::usage;
}

} // namespace savorydock
