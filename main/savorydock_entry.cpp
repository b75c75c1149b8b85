#include "drivers/entry/entry_instance.hpp"
#include "drivers/process/process_resources.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(settings, "", "Settings file of the instance (JSON)");
DEFINE_bool(check, false, "Check the settings and exit");

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

/// Blocks until SIGTERM, SIGINT or an operator requests a shutdown.
void wait_for_end(const savorydock::entry_instance& instance) {
    constexpr std::chrono::milliseconds check_interval{100};
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&](const boost::system::error_code&, int) { context.stop(); });
    boost::asio::steady_timer timer(context);
    std::function<void()> check = [&] {
        if (instance.is_drain_wanted()) {
            context.stop();
            return;
        }
        timer.expires_after(check_interval);
        timer.async_wait([&](const boost::system::error_code&) { check(); });
    };
    check();
    context.run();
}

} // namespace

int main(int argc, char** argv) {
    savorydock::return_freed_blocks();
    gflags::SetUsageMessage("runs one entry instance\n\n"
                            "  savorydock-entry --settings FILE [--check]\n\n"
                            "SIGTERM drains the instance. Exit codes: "
                            "docs/OPERATIONS.md.");
    gflags::SetVersionString(SAVORYDOCK_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty() || argc > 1) {
        std::cerr << "savorydock-entry: expected --settings FILE\n";
        return to_int(exit_code::usage);
    }
    const auto settings = savorydock::load_instance_settings(FLAGS_settings);
    if (!settings) {
        std::cerr << settings.reason().detail << '\n';
        return to_int(exit_code::invalid_settings);
    }
    const auto checked = savorydock::entry_instance::check(*settings);
    if (!checked) {
        std::cerr << FLAGS_settings << ": " << checked.reason().detail << '\n';
        return to_int(exit_code::invalid_settings);
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": valid\n";
        return to_int(exit_code::ok);
    }
    const auto instance = savorydock::entry_instance::start(*settings);
    if (!instance) {
        std::cerr << instance.reason().detail << '\n';
        return to_int(exit_code::failed);
    }
    std::cout << "listening caller="
              << savorydock::to_text((*instance)->caller_address())
              << " operator="
              << savorydock::to_text((*instance)->operator_address())
              << " peer=" << savorydock::to_text((*instance)->peer_address())
              << std::endl;
    wait_for_end(**instance);
    const bool is_drained = (*instance)->drain();
    return to_int(is_drained ? exit_code::ok : exit_code::requests_cut);
}
