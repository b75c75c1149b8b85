#include "tests/fakes/fake_answer.hpp"
#include "tests/fakes/fake_engine.hpp"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "Address to listen on");
DEFINE_uint64(weights, 1, "Weight version at start");
DEFINE_uint64(token_delay_ms, 2, "Time to generate one token, in milliseconds");
DEFINE_string(crash_on, "",
              "The process exits when a prompt contains this text");
DEFINE_bool(ignores_fencing, false,
            "Whether to accept orders with outdated fencing numbers");

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    savorydock::fake_engine engine(
        FLAGS_weights,
        {.crash_on = FLAGS_crash_on,
         .ignores_fencing = FLAGS_ignores_fencing,
         .token_delay = std::chrono::milliseconds(FLAGS_token_delay_ms)});
    return savorydock::run_fake(FLAGS_listen, [&](const auto& address) {
        return engine.listen(address);
    });
}
