#pragma once

#include "core/outcome.hpp"

#include <string>

namespace savorydock {

/// Exit codes of the `savorydock` command, see docs/OPERATIONS.md.
enum class exit_code : int {
    ok = 0,
    failed = 1,
    usage = 2,
    invalid_document = 3,
    conflict = 4,
    unknown = 5,
    unreachable = 6,
    not_found = 7,
};

/// Returns the exit code for a result. Thread safe.
[[nodiscard]] exit_code exit_code_of(result_code code);

/// Prints a failure to the standard error output; returns its exit code.
exit_code fail_command(const failure& reason);

/// Prints a command line error to the standard error output; returns
/// `exit_code::usage`.
exit_code fail_usage(const std::string& text);

} // namespace savorydock
