// Crowds of several kinds at once, during a drain and with little progress.
#include "tests/main/caller_memory_fixture.hpp"

#include <csignal>
#include <list>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class crowd_mix_test : public caller_memory_fixture {
protected:
    [[nodiscard]] crowd_plan short_bodies(const std::string& target) const {
        return make_short_body(
            make_head(target, make_length(limits_.max_body_bytes)),
            piece_bytes);
    }

    void add(crowd_plan plan, std::uint16_t port = caller_port) {
        crowds_.emplace_back(address(port), std::move(plan));
    }

    /// Starts a crowd of each kind against all ports.
    void add_all_kinds() {
        const std::string chunked =
            make_head("/run/small", "Transfer-Encoding: chunked\r\n");
        const std::string bytes(piece_bytes, 'a');
        add(make_endless_trailers(chunked));
        add(short_bodies("/run/small"));
        add(short_bodies("/job/x"));
        add(make_endless(chunked, make_chunk(16'384)));
        add(make_endless(make_head("/run/small", make_length(90'000'000'000)),
                         bytes));
        add({.head = "GET /run/big HTTP/1.1\r\nHost: h\r\n"
                     "Request-Id: c\r\n\r\n"});
        add(make_endless(
            make_head("/run/stall", make_length(limits_.max_body_bytes)), bytes,
            limits_.max_body_bytes));
        for (const std::uint16_t port : {readiness_port, metrics_port}) {
            add(make_endless_trailers(chunked), port);
            add(short_bodies("/"), port);
        }
        for (const std::uint16_t port :
             {internal_port, std::uint16_t{internal_port + 1}}) {
            add(make_endless({}, bytes), port);
        }
    }

    void wait_until_sent() {
        for (const caller_crowd& crowd : crowds_) {
            crowd.wait_until_sent(quiet);
        }
    }

    std::list<caller_crowd> crowds_;
};

} // namespace

TEST_F(crowd_mix_test, all_kinds_on_all_ports_leave_memory_bounded) {
    add_all_kinds();
    wait_until_sent();
    wait_until_settled();
    expect_sound();
}

// The crowd's requests are still being received when the drain begins; another
// crowd comes after it.
TEST_F(crowd_mix_test, crowds_during_a_drain_leave_memory_bounded) {
    add_all_kinds();
    wait_until_sent();
    EXPECT_TRUE(is_served()) << "an ordinary request was not answered";
    instance_->send(SIGTERM);
    add_all_kinds();
    std::size_t peak = 0;
    while (const std::size_t memory = peak_memory_mb()) {
        peak = memory;
        EXPECT_LT(open_descriptors(), limits_.max_descriptors);
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_LT(peak, limits_.memory_mb);
    EXPECT_GE(instance_->wait(), 0) << "a signal ended the process";
}

// A body that grows by 16 KiB a second makes the least progress that is asked,
// which is 16 KiB in 3 s.
TEST_F(crowd_mix_test, bodies_with_least_progress_leave_memory_bounded) {
    const std::size_t sent = limits_.max_body_bytes / 4 * 3;
    add({.head = make_head("/run/small", make_length(limits_.max_body_bytes)) +
                 std::string(sent, 'a'),
         .piece = std::string(16'384, 'a'),
         .pieces = 12,
         .pause = 900ms});
    wait_until_sent();
    wait_until_settled();
    expect_sound();
}
