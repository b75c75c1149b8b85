#pragma once

#include "drivers/operator_http/command_result.hpp"
#include "drivers/operator_http/operator_command.hpp"

namespace savorydock {

/// `publish FILE...`: publishes service files. With --wait, also waits until
/// the instances listed in --operator_address use them. Blocks.
[[nodiscard]] exit_code run_publish(const operator_command_line& line);

/// `diff FILE...`: shows what `publish` would change. Blocks.
[[nodiscard]] exit_code run_diff(const operator_command_line& line);

/// `delete SERVICE`: removes a service from all instances. Blocks.
[[nodiscard]] exit_code run_delete(const operator_command_line& line);

} // namespace savorydock
