#pragma once

#include "tests/fakes/caller_crowd.hpp"
#include "tests/fakes/child_process.hpp"
#include "tests/fakes/fake_users_store.hpp"
#include "tests/fakes/raw_caller.hpp"
#include "tests/fakes/raw_upstream.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <thread>

namespace savorydock {

/// What the machine and the configuration of a test allow.
struct memory_limits {
    std::size_t memory_mb = 64;
    std::size_t max_body_bytes = 4U << 20U;
    std::size_t max_descriptors = 3'075;
};

/// Runs one instance as a process on a machine with little memory. Targets
/// below /run/ are answered by an upstream, those below /job/ are submissions
/// of jobs.
class caller_memory_fixture : public ::testing::Test {
protected:
    static constexpr std::uint16_t caller_port = 8161;
    static constexpr std::uint16_t readiness_port = 8167;
    static constexpr std::uint16_t internal_port = 7720;
    static constexpr std::uint16_t metrics_port = 9464;
    /// How long a crowd may send nothing before it counts as blocked.
    static constexpr std::chrono::milliseconds quiet{1'000};

    explicit caller_memory_fixture(memory_limits limits = {})
        : limits_(limits) {
        std::filesystem::create_directories(folder_);
        const std::string times = R"("service": "s", "max_attempts": 2,
             "timeout_ms": 20000, "target_latency_ms": 100, "priority": 1})";
        store_.put("op/config", R"({"version": 1, "routes": [
            {"name": "run", "host": "h", "prefix": "/run/",
             "route_type": "safe", )" +
                                    times + R"(,
            {"name": "job", "host": "h", "prefix": "/job/",
             "route_type": "batch", )" +
                                    times + R"(],
            "services": [{"name": "s", "health_path": "/", "max_conns": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": )" +
                                    std::to_string(limits.max_body_bytes) +
                                    R"(, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}})");
        store_.put("servers/u", R"({"service": "s", "address": ")" +
                                    to_text(upstream_.address()) +
                                    R"(", "zone": "z", "version": "v1",
            "slots": 50, "state": "ready", "cold_left_ms": 0, "sequence": 1,
            "born": 1})");
        const auto path = folder_ / "settings.toml";
        std::ofstream(path)
            << "node_name = \"a\"\nrole = \"entry\"\nip = \"" << ip_
            << "\"\nzone = \"z\"\nregion = \"r\"\n"
            << "machine_class = \"front\"\nserves = [\"front\"]\n"
            << "internal_ports = [7720,7735]\nfirst_start = true\n"
            << "heartbeat_ms = 1200\n[listen]\nfront = \"" << ip_ << ':'
            << caller_port << "\"\nready = \"" << ip_ << ':' << readiness_port
            << "\"\n[limits]\ncpu_share = 0.25\nmemory_mb = "
            << limits.memory_mb << "\nmax_fds = " << limits.max_descriptors
            << "\n[bounds]\ngrace_s = 5\nlease_ms = 3000\n"
            << "[platform]\naddress = \"" << to_text(store_.address())
            << "\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
            << "value_bytes = 1048576\nttl_min_ms = 1000\n";
        ::setenv("SAVORYDOCK_SETTINGS", path.c_str(), 1);
        instance_.emplace(std::string(SAVORYDOCK_BINARY_DIR) + "/bin",
                          "savorydock-node", std::vector<std::string>{"entry"});
        EXPECT_TRUE(is_served()) << "the instance serves no requests";
    }

    ~caller_memory_fixture() override {
        instance_.reset();
        std::filesystem::remove_all(folder_);
    }

    [[nodiscard]] endpoint address(std::uint16_t port = caller_port) const {
        return {.address = ip_, .port = port};
    }

    static std::string make_head(const std::string& target,
                                 const std::string& headers) {
        return "POST " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\n" +
               headers + "\r\n";
    }

    static std::string make_length(std::size_t bytes) {
        return "Content-Length: " + std::to_string(bytes) + "\r\n";
    }

    /// Whether one ordinary request is answered with success.
    [[nodiscard]] bool is_served() const {
        for (int tries = 0; tries < 100; ++tries) {
            try {
                raw_caller caller(address());
                caller.write("GET /run/small HTTP/1.1\r\nHost: h\r\n"
                             "Request-Id: w\r\nDeadline-Ms: 15000\r\n\r\n");
                const auto answer = caller.read_answer(std::chrono::seconds(2));
                if (answer && answer->status == 200) {
                    return true;
                }
            } catch (const boost::system::system_error&) {
                // It doesn't listen.
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

    /// The largest resident memory of the process so far; 0 if it has ended.
    [[nodiscard]] std::size_t peak_memory_mb() const {
        std::ifstream file("/proc/" + std::to_string(instance_->pid()) +
                           "/status");
        const std::string name = "VmHWM:";
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with(name)) {
                return std::stoul(line.substr(name.size())) / 1024;
            }
        }
        return 0;
    }

    /// Returns once the peak memory has not grown for some time.
    void wait_until_settled() const {
        std::size_t peak = 0;
        while (peak < peak_memory_mb()) {
            peak = peak_memory_mb();
            std::this_thread::sleep_for(quiet);
        }
    }

    [[nodiscard]] std::size_t open_descriptors() const {
        std::error_code ignored;
        std::filesystem::directory_iterator files(
            "/proc/" + std::to_string(instance_->pid()) + "/fd", ignored);
        return static_cast<std::size_t>(
            std::distance(begin(files), end(files)));
    }

    /// The process lives, stays within the memory and descriptors of its
    /// machine and answers an ordinary request.
    void expect_sound() const {
        EXPECT_TRUE(is_served()) << "an ordinary request was not answered";
        const std::size_t memory = peak_memory_mb();
        EXPECT_GT(memory, 0U) << "the process has ended";
        EXPECT_LT(memory, limits_.memory_mb);
        EXPECT_LT(open_descriptors(), limits_.max_descriptors);
    }

    /// Runs a crowd against a port, and checks the process while the crowd's
    /// connections are still open.
    void expect_sound_under(crowd_plan plan, std::uint16_t port = caller_port) {
        const caller_crowd crowd(address(port), std::move(plan));
        crowd.wait_until_sent(quiet);
        wait_until_settled();
        expect_sound();
    }

    /// Serves the requests of one connection. /run/big is answered with 8 MB.
    /// A request to /run/stall is read no further than its head.
    static void serve(raw_connection& connection) {
        while (true) {
            const std::string request = connection.read_request();
            if (request.empty()) {
                return;
            }
            if (request.find(" /run/stall") != std::string::npos) {
                std::this_thread::sleep_for(std::chrono::seconds(4));
                return;
            }
            const std::size_t size =
                request.find(" /run/big") != std::string::npos ? 8U << 20U : 0;
            const std::size_t body_bytes = length_of(request);
            if (body_bytes > 0 && !connection.skip(body_bytes)) {
                return;
            }
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " +
                             header_of(request, "Request-Id") +
                             "\r\nServer-Stamp: s\r\n" + make_length(size) +
                             "\r\n" + std::string(size, 'a'));
        }
    }

    static std::size_t length_of(const std::string& request) {
        const std::string length = header_of(request, "Content-Length");
        return length.empty() ? 0 : std::stoul(length);
    }

    memory_limits limits_;
    std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() /
        ("caller_memory_test." + std::to_string(getpid()));
    /// Concurrent runs get loopback addresses of their own.
    std::string ip_ = "127.31." + std::to_string(getpid() / 250 % 250) + "." +
                      std::to_string(getpid() % 250 + 1);
    fake_users_store store_;
    raw_upstream upstream_{
        [](raw_connection& connection, std::size_t) { serve(connection); }};
    std::optional<child_process> instance_;
};

} // namespace savorydock
