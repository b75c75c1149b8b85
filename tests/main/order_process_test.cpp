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

/// Runs two instances as processes, and two engines: one checks the fencing
/// number of orders, the other ignores it.
class order_process_test : public ::testing::Test {
protected:
    void SetUp() override {
        folder_ = std::filesystem::temp_directory_path() /
                  ("order_process_test." + std::to_string(getpid()));
        std::filesystem::create_directories(folder_);
        platform_address_ = to_text(*platform_.listen({"127.0.0.1", 0}));
        fencing_address_ = to_text(*fencing_engine_.listen({"127.0.0.1", 0}));
        non_fencing_address_ =
            to_text(*non_fencing_engine_.listen({"127.0.0.1", 0}));
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

    /// Publishes a target version with the `savorydock` command.
    void publish(weight_version version) {
        write("m", R"({"service": "m", "kind": "model",
            "classes": [{"name": "c"}],
            "callers": [{"name": "t", "key": "t", "class": "c"}],
            "upstreams": [
              {"name": "checks", "zone": "a", "checks_fencing": true,
               "address": ")" +
                       fencing_address_ +
                       R"("},
              {"name": "ignores", "zone": "a", "address": ")" +
                       non_fencing_address_ + R"("}],
            "weights": {"version": )" +
                       std::to_string(version) + "}}");
        child_process command(std::string(SAVORYDOCK_BINARY_DIR) + "/bin",
                              "savorydock",
                              {"publish", "--platform=" + platform_address_,
                               "--operator_name=test", path("m")});
        ASSERT_EQ(command.wait(), 0);
    }

    /// Waits for a condition and expects that no engine's version decreases
    /// meanwhile.
    bool wait_for(const std::function<bool()>& condition) {
        weight_version first = 0;
        weight_version second = 0;
        for (int i = 0; i < 800; ++i) {
            EXPECT_GE(fencing_engine_.version(), first);
            EXPECT_GE(non_fencing_engine_.version(), second);
            first = fencing_engine_.version();
            second = non_fencing_engine_.version();
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }
    bool wait_for_version(weight_version version) {
        return wait_for([&] {
            return fencing_engine_.version() == version &&
                   non_fencing_engine_.version() == version;
        });
    }
    [[nodiscard]] std::string holder() const {
        const auto found = platform_.find(holder_key);
        return found ? found->value : "";
    }

    std::filesystem::path folder_;
    fake_platform platform_;
    fake_engine fencing_engine_{7, {}};
    fake_engine non_fencing_engine_{7, {.ignores_fencing = true}};
    std::string platform_address_;
    std::string fencing_address_;
    std::string non_fencing_address_;
    std::array<std::string, 2> peers_;
    std::array<std::unique_ptr<child_process>, 2> instances_;
};

TEST_F(order_process_test,
       stopped_holder_is_replaced_and_versions_never_decrease) {
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

TEST_F(order_process_test, orders_stop_without_a_lease_and_resume_with_one) {
    publish(8);
    ASSERT_TRUE(wait_for_version(8));
    platform_.add_fault({.operation = "lease", .refuse = true});
    // Longer than the lease, so that it expires on the platform.
    std::this_thread::sleep_for(6s);
    // Configuration is still distributed, but no instance may send orders.
    publish(9);
    std::this_thread::sleep_for(4s);
    EXPECT_TRUE(holder().empty());
    EXPECT_EQ(fencing_engine_.version(), 8U);
    EXPECT_EQ(non_fencing_engine_.version(), 8U);
    platform_.clear_faults();
    EXPECT_TRUE(wait_for_version(9));
}

TEST_F(order_process_test, newest_version_is_reached_after_platform_outage) {
    publish(8);
    ASSERT_TRUE(wait_for_version(8));
    platform_.add_fault({.refuse = true});
    std::this_thread::sleep_for(6s);
    EXPECT_EQ(fencing_engine_.version(), 8U);
    platform_.clear_faults();
    publish(9);
    EXPECT_TRUE(wait_for_version(9));
}

} // namespace savorydock
