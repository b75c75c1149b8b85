#pragma once

#include "tests/fakes/fake_users_store.hpp"
#include "tests/main/process_memory_fixture.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

namespace savorydock {

/// Runs one instance as a process on a machine with little memory. Targets
/// below /run/ are answered by an upstream, those below /job/ are submissions
/// of jobs.
class caller_memory_fixture : public process_memory_fixture {
protected:
    static constexpr std::uint16_t caller_port = 8161;
    static constexpr std::uint16_t readiness_port = 8167;
    static constexpr std::uint16_t internal_port = 7720;
    static constexpr std::uint16_t metrics_port = 9464;

    explicit caller_memory_fixture(memory_limits limits = {})
        : process_memory_fixture(limits) {
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

    /// Runs a crowd against a port as the base class does.
    void expect_sound_under(crowd_plan plan, std::uint16_t port = caller_port) {
        process_memory_fixture::expect_sound_under(std::move(plan),
                                                   address(port));
    }

    [[nodiscard]] endpoint address(std::uint16_t port = caller_port) const {
        return {.address = ip_, .port = port};
    }

    static std::string make_head(const std::string& target,
                                 const std::string& headers) {
        return "POST " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\n" +
               headers + "\r\n";
    }

    /// Whether one ordinary request is answered with success.
    [[nodiscard]] bool is_served() const override {
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

    std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() /
        ("caller_memory_test." + std::to_string(getpid()));
    /// Concurrent runs get loopback addresses of their own.
    std::string ip_ = "127.31." + std::to_string(getpid() / 250 % 250) + "." +
                      std::to_string(getpid() % 250 + 1);
    fake_users_store store_;
};

} // namespace savorydock
