#include "tests/fakes/fake_answer.hpp"
#include "tests/fakes/fake_engine.hpp"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "Address to listen on");
DEFINE_uint64(weights, 1, "Weight version at start");
DEFINE_uint64(token_delay_ms, 2, "Time a token takes");
DEFINE_string(crash_on, "", "A prompt with this text ends the process");
DEFINE_bool(ignores_fencing, false, "Whether old fencing numbers are taken");

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
