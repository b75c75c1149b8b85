#include "tests/fakes/child_process.hpp"
#include "tests/fakes/fake_duty_platform.hpp"
#include "tests/fakes/fake_users_store.hpp"
#include "tests/fakes/raw_caller.hpp"
#include "tests/fakes/raw_upstream.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <thread>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

/// Two instances as processes that report usage windows of one second.
class usage_process_test : public ::testing::Test {
protected:
    usage_process_test() {
        std::filesystem::create_directories(folder_);
        store_.put("op/config", R"({"version": 1, "routes": [
            {"name": "safe", "host": "h", "prefix": "/safe/",
             "route_type": "safe", "service": "s", "max_attempts": 2,
             "timeout_ms": 20000, "target_latency_ms": 100, "priority": 1}],
            "services": [{"name": "s", "health_path": "/", "max_conns": 100}],
            "tenants": [{"name": "red", "api_keys": ["k1"]}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})");
        store_.put("servers/u", R"({"service": "s", "address": ")" +
                                    to_text(upstream_.address()) +
                                    R"(", "zone": "z", "version": "v1",
            "slots": 50, "state": "ready", "cold_left_ms": 0, "sequence": 1,
            "born": 1})");
        for (const char* const name : {"a", "b"}) {
            start(name);
        }
    }

    ~usage_process_test() override {
        instances_.clear();
        std::filesystem::remove_all(folder_);
    }

    void start(const std::string& name) {
        const std::string ip = ip_ + (name == "a" ? "1" : "2");
        const auto path = folder_ / (name + ".toml");
        std::ofstream(path)
            << "node_name = \"" << name << "\"\nrole = \"entry\"\nip = \"" << ip
            << "\"\nzone = \"z\"\nregion = \"r\"\n"
            << "machine_class = \"front\"\nserves = [\"front\"]\n"
            << "internal_ports = [7720,7735]\nfirst_start = true\n"
            << "heartbeat_ms = 1200\n[listen]\nfront = \"" << ip
            << ":8161\"\nready = \"" << ip << ":8167\"\n[limits]\n"
            << "cpu_share = 0.25\nmemory_mb = 260\n[bounds]\ngrace_s = 5\n"
            << "lease_ms = 3000\nusage_window_s = 1\nusage_late_s = 10\n"
            << "[cloud]\naddress = \"" << to_text(platform_.address())
            << "\"\nduties = [\"usage\"]\nduty_per_s = 50\n"
            << "[platform]\naddress = \"" << to_text(store_.address())
            << "\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
            << "value_bytes = 1048576\nttl_min_ms = 1000\n";
        ::setenv("SAVORYDOCK_SETTINGS", path.c_str(), 1);
        instances_[name] = std::make_unique<child_process>(
            std::string(SAVORYDOCK_BINARY_DIR) + "/bin", "savorydock-node",
            std::vector<std::string>{"entry"});
    }

    template <class Test>
    [[nodiscard]] static bool wait_for(Test is_done) {
        for (int tries = 0; tries < 600 && !is_done(); ++tries) {
            std::this_thread::sleep_for(50ms);
        }
        return is_done();
    }
    [[nodiscard]] bool wait_for_calls(std::size_t count) const {
        return wait_for([&] { return platform_.calls().size() >= count; });
    }

    /// Sends requests with a key to the instance; returns how many were
    /// answered.
    [[nodiscard]] int send_requests(const std::string& name, int count) const {
        raw_caller caller(
            {.address = ip_ + (name == "a" ? "1" : "2"), .port = 8161});
        int answered = 0;
        for (int at = 0; at < count; ++at) {
            caller.write("GET /safe/ HTTP/1.1\r\nHost: h\r\nRequest-Id: " +
                         name + std::to_string(at) +
                         "\r\nAuthorization: Bearer k1\r\n"
                         "Deadline-Ms: 9000\r\n\r\n");
            const auto answer = caller.read_answer(9s);
            answered += answer && answer->status == 200 ? 1 : 0;
        }
        return answered;
    }
    static void serve(raw_connection& connection) {
        std::string request = connection.read_request();
        while (!request.empty() &&
               connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " +
                                header_of(request, "Request-Id") +
                                "\r\nServer-Stamp: s\r\n"
                                "Content-Length: 0\r\n\r\n")) {
            request = connection.read_request();
        }
    }
    /// Requests of the organisation in the reports so far.
    [[nodiscard]] std::int64_t reported_requests() const {
        std::map<std::int64_t, std::int64_t> by_window;
        for (const http_request& call : platform_.calls()) {
            const auto body = boost::json::parse(call.body);
            const auto& counts = body.at("counts").as_object();
            by_window[body.at("window_id").as_int64()] =
                counts.contains("red") ? counts.at("red").as_int64() : 0;
        }
        std::int64_t total = 0;
        for (const auto& [window, count] : by_window) {
            total += count;
        }
        return total;
    }

    std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() /
        ("usage_process_test." + std::to_string(getpid()));
    /// Concurrent runs get loopback addresses of their own.
    std::string ip_ = "127.30." + std::to_string(getpid() % 250 + 1) + ".";
    fake_users_store store_;
    fake_duty_platform platform_;
    raw_upstream upstream_{
        [](raw_connection& connection, std::size_t) { serve(connection); }};
    std::map<std::string, std::unique_ptr<child_process>> instances_;
};

} // namespace

// Guards against windows without a report, against different reports of one
// window, and against tokens that don't grow, when the holder is killed.
TEST_F(usage_process_test, windows_are_reported_without_gaps_over_a_crash) {
    ASSERT_TRUE(wait_for_calls(3));
    const std::string holder(platform_.calls().back().header("Duty-Holder"));
    instances_.erase(holder);
    const std::size_t calls_before = platform_.calls().size();
    // The fake store doesn't end leases by itself.
    std::this_thread::sleep_for(3s);
    store_.remove("c/node/" + holder);
    store_.remove("c/term/~duty");
    ASSERT_TRUE(wait_for([&] {
        return platform_.calls().size() >= calls_before + 6 &&
               platform_.calls().back().header("Duty-Holder") != holder;
    }));
    std::map<std::int64_t, std::string> reports;
    std::uint64_t last_token = 0;
    for (const http_request& call : platform_.calls()) {
        const std::uint64_t token =
            std::stoull(std::string(call.header("Fencing-Token")));
        EXPECT_GE(token, last_token);
        last_token = token;
        const std::int64_t window =
            boost::json::parse(call.body).at("window_id").as_int64();
        const auto known = reports.emplace(window, call.body).first;
        EXPECT_EQ(known->second, call.body);
    }
    const auto span = reports.rbegin()->first - reports.begin()->first + 1;
    EXPECT_EQ(static_cast<std::int64_t>(reports.size()), span);
}

// Guards against counts that a holder loses when it is stopped by a signal.
TEST_F(usage_process_test, planned_stop_of_the_holder_loses_no_counts) {
    ASSERT_TRUE(wait_for_calls(2));
    const std::string holder(platform_.calls().back().header("Duty-Holder"));
    ASSERT_EQ(send_requests("a", 20), 20);
    ASSERT_EQ(send_requests("b", 20), 20);
    instances_.at(holder)->send(SIGTERM);
    EXPECT_TRUE(wait_for([&] { return reported_requests() >= 40; }));
    EXPECT_EQ(reported_requests(), 40);
}
