#include "tests/fakes/fake_answer.hpp"
#include "tests/fakes/fake_service.hpp"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "Address to listen on");
DEFINE_uint64(delay_ms, 0, "Time to run one call, in milliseconds");
DEFINE_uint64(lost_answers, 0,
              "Number of calls that run without sending a response");

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    savorydock::fake_service service(
        {.delay = std::chrono::milliseconds(FLAGS_delay_ms),
         .lost_answers = static_cast<std::uint32_t>(FLAGS_lost_answers)});
    return savorydock::run_fake(FLAGS_listen, [&](const auto& address) {
        return service.listen(address);
    });
}
