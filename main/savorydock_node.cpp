#include "core/text_file.hpp"
#include "drivers/logging/log4cxx_logger.hpp"
#include "drivers/node/node_instance.hpp"
#include "drivers/process/process_resources.hpp"
#include "platform/settings_file.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

DEFINE_bool(check, false, "Check the settings and exit");
DEFINE_string(log_level, "info", "One of debug, info, warning, error");

namespace {

enum class exit_code : int {
    ok = 0,
    failed = 1,
    usage = 2,
    invalid_settings = 3,
    requests_cut = 4,
};

int to_int(exit_code code) {
    return static_cast<int>(code);
}

/// Runs the role `store`, that of a machine with a disk. All persistent state
/// is in the platform's store, so the process only waits for SIGTERM or SIGINT
/// and exits cleanly. SIGHUP is ignored.
int run_store_role(savorydock::logger& log) {
    log.write(savorydock::log_event::instance_started, "role=store");
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.add(SIGHUP);
    std::function<void()> wait = [&] {
        signals.async_wait([&](const boost::system::error_code&, int signal) {
            if (signal == SIGHUP) {
                wait();
            }
        });
    };
    wait();
    context.run();
    log.write(savorydock::log_event::instance_stopped, "role=store");
    return to_int(exit_code::ok);
}

} // namespace

int main(int argc, char** argv) {
    using namespace savorydock;
    return_freed_blocks();
    gflags::SetUsageMessage(
        "runs one instance on the users' platform\n\n"
        "  savorydock-node [--check] entry|store\n\n"
        "The settings file is named by SAVORYDOCK_SETTINGS. SIGTERM drains "
        "the instance. Exit codes: docs/OPERATIONS.md.");
    gflags::SetVersionString(SAVORYDOCK_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string role = argc == 2 ? argv[1] : "";
    if (role != "entry" && role != "store") {
        std::cerr << "savorydock-node: expected the role entry or store\n";
        return to_int(exit_code::usage);
    }
    const char* const file = std::getenv(platform::settings_variable);
    if (file == nullptr) {
        std::cerr << "savorydock-node: " << platform::settings_variable
                  << " is not set\n";
        return to_int(exit_code::usage);
    }
    const auto text = read_text_file(file);
    const auto settings = text ? platform::read_settings(*text) : text.reason();
    if (!settings) {
        std::cerr << file << ": " << settings.reason().detail << '\n';
        return to_int(exit_code::invalid_settings);
    }
    if (role == "entry" && !settings->caller_listen) {
        std::cerr << file << ": the role entry needs an address for callers\n";
        return to_int(exit_code::invalid_settings);
    }
    if (FLAGS_check) {
        std::cout << file << ": valid\n";
        return to_int(exit_code::ok);
    }
    log4cxx_logger log(log_target::standard_output, FLAGS_log_level,
                       settings->instance.text());
    if (role == "store") {
        return run_store_role(log);
    }
    node_instance instance(*settings, file, log);
    const auto result = instance.run();
    if (!result) {
        std::cerr << result.reason().detail << '\n';
        return to_int(exit_code::failed);
    }
    return to_int(*result ? exit_code::ok : exit_code::requests_cut);
}
