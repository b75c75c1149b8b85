#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace savorydock {

/// The parsed command line of the `savorydock` command.
struct operator_command_line {
    /// The subcommand and its arguments.
    std::vector<std::string> arguments;
    std::string operator_address;
    std::string operator_key;
    std::string platform;
    std::string operator_name;
    bool is_json = false;
    bool is_waiting = false;
    /// `check` reads a configuration of the users' platform.
    bool is_platform_form = false;
    /// File with the configuration to compare with; may be empty.
    std::string against;
    std::chrono::seconds timeout{30};
};

/// Returns the usage text that --help prints.
[[nodiscard]] std::string operator_usage();

/// Runs one subcommand and prints to the standard streams. Returns the exit
/// code, see docs/OPERATIONS.md. Blocks.
[[nodiscard]] int run_operator_command(const operator_command_line& line);

} // namespace savorydock
