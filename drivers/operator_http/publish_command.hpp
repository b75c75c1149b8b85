#pragma once

#include "drivers/operator_http/command_result.hpp"
#include "drivers/operator_http/operator_command.hpp"

namespace savorydock {

/// `publish FILE...`: puts service files in force; with --wait, until the
/// instances named by --operator_address have them. Blocks.
[[nodiscard]] exit_code run_publish(const operator_command_line& line);

/// `diff FILE...`: shows what `publish` would change. Blocks.
[[nodiscard]] exit_code run_diff(const operator_command_line& line);

/// `delete SERVICE`: takes a service out of force everywhere. Blocks.
[[nodiscard]] exit_code run_delete(const operator_command_line& line);

} // namespace savorydock
