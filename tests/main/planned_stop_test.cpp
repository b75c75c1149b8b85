#include "tests/fakes/child_process.hpp"
#include "tests/fakes/fake_users_store.hpp"
#include "tests/fakes/raw_caller.hpp"
#include "tests/fakes/raw_upstream.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <thread>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t caller_port = 8161;
/// Time between SIGTERM and SIGKILL.
constexpr std::chrono::seconds grace{5};

/// Runs one instance as a process that is stopped while callers use connections
/// that they keep open. The target of a request names the milliseconds that its
/// upstream takes.
class planned_stop_test : public ::testing::Test {
protected:
    planned_stop_test() {
        std::filesystem::create_directories(folder_);
        store_.put("op/config", R"({"version": 1, "routes": [
            {"name": "safe", "host": "h", "prefix": "/safe/",
             "route_type": "safe", "service": "s", "max_attempts": 2,
             "timeout_ms": 20000, "target_latency_ms": 100, "priority": 1},
            {"name": "once", "host": "h", "prefix": "/once/",
             "route_type": "unsafe", "service": "s", "max_attempts": 1,
             "timeout_ms": 20000, "target_latency_ms": 100, "priority": 1}],
            "services": [{"name": "s", "health_path": "/", "max_conns": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})");
        store_.put("servers/u", R"({"service": "s", "address": ")" +
                                    to_text(upstream_.address()) +
                                    R"(", "zone": "z", "version": "v1",
            "slots": 50, "state": "ready", "cold_left_ms": 0, "sequence": 1,
            "born": 1})");
        write_settings(grace);
        const auto path = folder_ / "settings.toml";
        ::setenv("SAVORYDOCK_SETTINGS", path.c_str(), 1);
        instance_.emplace(std::string(SAVORYDOCK_BINARY_DIR) + "/bin",
                          "savorydock-node", std::vector<std::string>{"entry"});
        EXPECT_TRUE(is_served()) << "the instance serves no requests";
    }

    ~planned_stop_test() override {
        instance_.reset();
        std::filesystem::remove_all(folder_);
    }

    /// Sets the time between SIGTERM and SIGKILL.
    void write_settings(std::chrono::seconds time) const {
        std::ofstream(folder_ / "settings.toml")
            << "node_name = \"a\"\nrole = \"entry\"\nip = \"" << ip_
            << "\"\nzone = \"z\"\nregion = \"r\"\n"
            << "machine_class = \"front\"\nserves = [\"front\"]\n"
            << "internal_ports = [7720,7735]\nfirst_start = true\n"
            << "heartbeat_ms = 1200\n[listen]\nfront = \"" << ip_
            << ":8161\"\nready = \"" << ip_ << ":8167\"\n[limits]\n"
            << "cpu_share = 0.25\nmemory_mb = 260\n[bounds]\ngrace_s = "
            << time.count() << "\nlease_ms = 3000\n[platform]\naddress = \""
            << to_text(store_.address())
            << "\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
            << "value_bytes = 1048576\nttl_min_ms = 1000\n";
    }

    [[nodiscard]] endpoint address() const {
        return {.address = ip_, .port = caller_port};
    }

    static std::string make_request(const std::string& target,
                                    const std::string& id) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
               "\r\nDeadline-Ms: 15000\r\n\r\n";
    }

    [[nodiscard]] bool is_served() const {
        for (int tries = 0; tries < 100; ++tries) {
            try {
                raw_caller caller(address());
                caller.write(make_request("/safe/0", "w"));
                const auto answer = caller.read_answer(1s);
                if (answer && answer->status == 200) {
                    return true;
                }
            } catch (const boost::system::system_error&) {
                // It doesn't listen yet.
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    void stop() {
        stopped_at_ = std::chrono::steady_clock::now();
        instance_->send(SIGTERM);
    }

    void wait_after_stop(std::chrono::milliseconds time) const {
        std::this_thread::sleep_until(stopped_at_ + time);
    }

    void serve(raw_connection& connection) {
        while (true) {
            const std::string request = connection.read_request();
            if (request.empty()) {
                return;
            }
            const std::string id = header_of(request, "Request-Id");
            {
                const std::lock_guard lock(mutex_);
                runs_.push_back(id);
            }
            const std::size_t time = request.find('/', 5) + 1;
            std::this_thread::sleep_for(
                std::chrono::milliseconds(std::stoi(request.substr(time))));
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                             "\r\nServer-Stamp: s\r\nContent-Length: 0\r\n"
                             "\r\n");
        }
    }

    [[nodiscard]] bool has_run(const std::string& id) const {
        const std::lock_guard lock(mutex_);
        return std::find(runs_.begin(), runs_.end(), id) != runs_.end();
    }

    std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() /
        ("planned_stop_test." + std::to_string(getpid()));
    /// Concurrent runs get loopback addresses of their own.
    std::string ip_ = "127.29." + std::to_string(getpid() / 250 % 250) + "." +
                      std::to_string(getpid() % 250 + 1);
    mutable std::mutex mutex_;
    std::vector<std::string> runs_;
    fake_users_store store_;
    raw_upstream upstream_{
        [this](raw_connection& connection, std::size_t) { serve(connection); }};
    std::optional<child_process> instance_;
    std::chrono::steady_clock::time_point stopped_at_;
};

} // namespace

// A request that must not run twice was sent on and cut at the end of the
// grace.
TEST_F(planned_stop_test,
       late_request_is_not_sent_on_if_the_exit_would_cut_it) {
    raw_caller busy(address());
    raw_caller late(address());
    ASSERT_TRUE(busy.write(make_request("/safe/9000", "busy")));
    ASSERT_TRUE(late.write(make_request("/once/0", "first")));
    ASSERT_TRUE(late.read_answer(1s));
    stop();
    wait_after_stop(3'800ms);
    ASSERT_TRUE(late.write(make_request("/once/2000", "late")));
    const auto answer = late.read_answer(2s);
    ASSERT_TRUE(answer) << "the connection was closed without an answer";
    EXPECT_EQ(answer->status, 503U);
    EXPECT_EQ(answer->header("Connection"), "close");
    EXPECT_FALSE(answer->header("Retry-After").empty());
    EXPECT_FALSE(has_run("late"));
}

// Requests that ran at the end of the grace got no answer.
TEST_F(planned_stop_test, request_that_runs_at_the_exit_is_answered) {
    raw_caller safe(address());
    raw_caller once(address());
    ASSERT_TRUE(safe.write(make_request("/safe/9000", "safe")));
    ASSERT_TRUE(once.write(make_request("/once/9000", "once")));
    std::this_thread::sleep_for(200ms);
    stop();
    for (raw_caller* const caller : {&safe, &once}) {
        const auto answer = caller->read_answer(grace);
        ASSERT_TRUE(answer) << "the connection was closed without an answer";
        EXPECT_EQ(answer->status, 502U);
        EXPECT_EQ(answer->header("Connection"), "close");
    }
    EXPECT_GT(std::chrono::steady_clock::now(), stopped_at_ + 4s)
        << "the upstream's answer was not awaited";
    EXPECT_NE(instance_->wait(), -1);
    EXPECT_LT(std::chrono::steady_clock::now(), stopped_at_ + grace);
}

// The instance exited while the bytes of a request were still arriving.
TEST_F(planned_stop_test, request_that_is_still_arriving_is_answered) {
    raw_caller caller(address());
    stop();
    wait_after_stop(2'400ms);
    const std::string request = make_request("/safe/0", "slow");
    ASSERT_TRUE(caller.write(request.substr(0, 20)));
    wait_after_stop(3'200ms);
    ASSERT_TRUE(caller.write(request.substr(20)));
    const auto answer = caller.read_answer(1s);
    ASSERT_TRUE(answer) << "the connection was closed without an answer";
    EXPECT_EQ(answer->status, 200U);
    EXPECT_EQ(answer->header("Connection"), "close");
    EXPECT_NE(instance_->wait(), -1);
    EXPECT_LT(std::chrono::steady_clock::now(), stopped_at_ + grace);
}

// LOST: requests that arrived while the process got no time, until the end of
// the grace, were closed without an answer.
TEST_F(planned_stop_test, requests_that_wait_unread_at_the_exit_are_answered) {
    raw_caller busy(address());
    ASSERT_TRUE(busy.write(make_request("/safe/9000", "busy")));
    stop();
    wait_after_stop(3'500ms);
    instance_->send(SIGSTOP);
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int i = 0; i < 300; ++i) {
        callers.push_back(std::make_unique<raw_caller>(address()));
        ASSERT_TRUE(
            callers.back()->write(make_request("/safe/0", std::to_string(i))));
    }
    wait_after_stop(4'500ms);
    instance_->send(SIGCONT);
    for (const auto& caller : callers) {
        const auto answer = caller->read_answer(2s);
        ASSERT_TRUE(answer) << "the connection was closed without an answer";
        EXPECT_EQ(answer->header("Connection"), "close");
    }
}

// An answer during the drain invited the caller to use its connection again.
TEST_F(planned_stop_test, answer_to_an_earlier_request_announces_the_close) {
    raw_caller caller(address());
    ASSERT_TRUE(caller.write(make_request("/safe/600", "earlier")));
    std::this_thread::sleep_for(200ms);
    stop();
    const auto answer = caller.read_answer(2s);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200U);
    EXPECT_EQ(answer->header("Connection"), "close");
}

TEST_F(planned_stop_test, second_signal_does_not_end_the_drain) {
    raw_caller caller(address());
    ASSERT_TRUE(caller.write(make_request("/once/1500", "once")));
    std::this_thread::sleep_for(200ms);
    stop();
    wait_after_stop(200ms);
    instance_->send(SIGTERM);
    instance_->send(SIGINT);
    const auto answer = caller.read_answer(2s);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200U);
}

TEST_F(planned_stop_test, grace_changed_by_a_reload_is_kept) {
    raw_caller caller(address());
    ASSERT_TRUE(caller.write(make_request("/safe/5000", "safe")));
    write_settings(2s);
    instance_->send(SIGHUP);
    std::this_thread::sleep_for(300ms);
    stop();
    const auto answer = caller.read_answer(3s);
    EXPECT_LT(std::chrono::steady_clock::now(), stopped_at_ + 2s);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 502U);
    EXPECT_NE(instance_->wait(), -1);
    EXPECT_LT(std::chrono::steady_clock::now(), stopped_at_ + 2s);
}

// The settings may change without a signal shortly before the stop.
TEST_F(planned_stop_test, grace_changed_without_a_signal_is_kept) {
    raw_caller caller(address());
    ASSERT_TRUE(caller.write(make_request("/safe/5000", "safe")));
    std::this_thread::sleep_for(200ms);
    write_settings(2s);
    stop();
    const auto answer = caller.read_answer(3s);
    EXPECT_LT(std::chrono::steady_clock::now(), stopped_at_ + 2s);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 502U);
}
