#pragma once

#include "drivers/operator_http/command_result.hpp"
#include "drivers/operator_http/operator_command.hpp"

namespace savorydock {

/// Runs `check --platform_form`: checks a configuration of the users' platform
/// and shows how it differs from the one in force. Blocks only with
/// `--platform`. Returns 0 if there are no findings, 1 if there are warnings
/// only, 2 if there are errors or a file can't be read, 6 if the store did not
/// answer, 7 if it has no configuration.
[[nodiscard]] int run_platform_check(const operator_command_line& line);

} // namespace savorydock
