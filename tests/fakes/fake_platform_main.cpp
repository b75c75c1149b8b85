// Runs the test double for the platform's store as a program.
#include "tests/fakes/fake_platform.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0",
              "Address to serve on; port 0 selects any free port.");

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "A test double for the platform's key-value service.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto address = savorydock::parse_endpoint(FLAGS_listen);
    if (!address) {
        std::cerr << address.reason().detail << '\n';
        return 2;
    }
    // Threads started later inherit the mask, so only sigwait receives these
    // signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    savorydock::fake_platform platform;
    const auto local = platform.listen(*address);
    if (!local) {
        std::cerr << local.reason().detail << '\n';
        return 1;
    }
    std::cout << "listening " << savorydock::to_text(*local) << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
