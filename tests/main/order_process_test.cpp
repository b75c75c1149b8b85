#include "tests/fakes/child_process.hpp"
#include "tests/fakes/fake_engine.hpp"
#include "tests/fakes/fake_platform.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>

namespace savorydock {

using namespace std::chrono_literals;

namespace {

constexpr const char* holder_key = "/savorydock/holders/fleet/m";

} // namespace

/// Two instances as processes, two engines of which one ignores fencing.
class order_process_test : public ::testing::Test {
protected:
    void SetUp() override {
        folder_ = std::filesystem::temp_directory_path() /
                  ("order_process_test." + std::to_string(getpid()));
        std::filesystem::create_directories(folder_);
        platform_address_ = to_text(*platform_.listen({"127.0.0.1", 0}));
        checks_address_ = to_text(*checks_.listen({"127.0.0.1", 0}));
        ignores_address_ = to_text(*ignores_.listen({"127.0.0.1", 0}));
        peers_ = {local(find_free_port()), local(find_free_port())};
        for (const std::size_t i : {0U, 1U}) {
            write("i" + std::to_string(i), settings_of(i));
            instances_[i] = std::make_unique<child_process>(
                std::string(SAVORYDOCK_BINARY_DIR) + "/bin", "savorydock-entry",
                std::vector{"--settings=" + path("i" + std::to_string(i))});
        }
    }
    void TearDown() override {
        for (auto& instance : instances_) {
            instance.reset();
        }
        std::filesystem::remove_all(folder_);
    }

    static std::string local(std::uint16_t port) {
        return "127.0.0.1:" + std::to_string(port);
    }
    [[nodiscard]] std::string path(const std::string& name) const {
        return folder_ / (name + ".json");
    }
    void write(const std::string& name, const std::string& text) const {
        std::ofstream(path(name)) << text;
    }
    [[nodiscard]] std::string settings_of(std::size_t i) const {
        const std::string own = std::to_string(i);
        const std::string other = std::to_string(1 - i);
        return R"({"instance": "i)" + own + R"(", "zone": "a",
            "caller_listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0",
            "peer_listen": ")" +
               peers_[i] + R"(", "operator_key": "k", "peer_key": "p",
            "platform": [")" +
               platform_address_ + R"("], "log_level": "error",
            "chart_folder": ")" SAVORYDOCK_SOURCE_DIR R"(/charts",
            "peers": [{"name": "i)" +
               other + R"(", "zone": "a", "address": ")" + peers_[1 - i] +
               R"("}],
            "orders": {"lease_seconds": 4, "longest_order_ms": 3000}})";
    }

    /// Publishes a target version by the operators' command.
    void publish(weight_version version) {
        write("m", R"({"service": "m", "kind": "model",
            "classes": [{"name": "c"}],
            "callers": [{"name": "t", "key": "t", "class": "c"}],
            "upstreams": [
              {"name": "checks", "zone": "a", "checks_fencing": true,
               "address": ")" +
                       checks_address_ +
                       R"("},
              {"name": "ignores", "zone": "a", "address": ")" +
                       ignores_address_ + R"("}],
            "weights": {"version": )" +
                       std::to_string(version) + "}}");
        child_process command(std::string(SAVORYDOCK_BINARY_DIR) + "/bin",
                              "savorydock",
                              {"publish", "--platform=" + platform_address_,
                               "--operator_name=test", path("m")});
        ASSERT_EQ(command.wait(), 0);
    }

    /// Waits for a condition; versions must not fall meanwhile.
    bool wait_for(const std::function<bool()>& condition) {
        weight_version first = 0;
        weight_version second = 0;
        for (int i = 0; i < 800; ++i) {
            EXPECT_GE(checks_.version(), first);
            EXPECT_GE(ignores_.version(), second);
            first = checks_.version();
            second = ignores_.version();
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }
    bool wait_for_version(weight_version version) {
        return wait_for([&] {
            return checks_.version() == version &&
                   ignores_.version() == version;
        });
    }
    [[nodiscard]] std::string holder() const {
        const auto found = platform_.find(holder_key);
        return found ? found->value : "";
    }

    std::filesystem::path folder_;
    fake_platform platform_;
    fake_engine checks_{7, {}};
    fake_engine ignores_{7, {.ignores_fencing = true}};
    std::string platform_address_;
    std::string checks_address_;
    std::string ignores_address_;
    std::array<std::string, 2> peers_;
    std::array<std::unique_ptr<child_process>, 2> instances_;
};

TEST_F(order_process_test, stopped_holder_is_replaced_and_does_no_harm) {
    publish(8);
    ASSERT_TRUE(wait_for_version(8));
    const std::string first = holder();
    ASSERT_TRUE(first == "i0" || first == "i1") << first;
    auto& stopped = *instances_[first == "i0" ? 0 : 1];
    publish(9);
    stopped.send(SIGSTOP);
    ASSERT_TRUE(
        wait_for([&] { return !holder().empty() && holder() != first; }));
    publish(10);
    EXPECT_TRUE(wait_for_version(10));
    const std::string second = holder();
    stopped.send(SIGCONT);
    publish(11);
    EXPECT_TRUE(wait_for_version(11));
    EXPECT_EQ(holder(), second);
}

TEST_F(order_process_test, orders_stop_without_a_lease_and_come_back) {
    publish(8);
    ASSERT_TRUE(wait_for_version(8));
    platform_.add_fault({.operation = "lease", .refuse = true});
    // Longer than the lease, which the platform ends by itself.
    std::this_thread::sleep_for(6s);
    // Configuration still spreads, but nobody may order.
    publish(9);
    std::this_thread::sleep_for(4s);
    EXPECT_TRUE(holder().empty());
    EXPECT_EQ(checks_.version(), 8U);
    EXPECT_EQ(ignores_.version(), 8U);
    platform_.clear_faults();
    EXPECT_TRUE(wait_for_version(9));
}

TEST_F(order_process_test, platform_outage_ends_with_the_newest_version) {
    publish(8);
    ASSERT_TRUE(wait_for_version(8));
    platform_.add_fault({.refuse = true});
    std::this_thread::sleep_for(6s);
    EXPECT_EQ(checks_.version(), 8U);
    platform_.clear_faults();
    publish(9);
    EXPECT_TRUE(wait_for_version(9));
}

} // namespace savorydock
