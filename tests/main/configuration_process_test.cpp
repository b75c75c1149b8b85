// Runs nine instances as processes and publishes configuration to them with the
// `savorydock` command.
#include "core/endpoint.hpp"
#include "drivers/http/http_client.hpp"
#include "servers/configuration/service_envelope.hpp"
#include "tests/fakes/child_process.hpp"
#include "tests/fakes/fake_platform.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <thread>

namespace savorydock {

using namespace std::chrono_literals;

class configuration_process_test : public ::testing::Test {
protected:
    static constexpr std::size_t instance_count = 9;
    static constexpr std::size_t zone_count = 4;
    static constexpr const char* bin = SAVORYDOCK_BINARY_DIR "/bin";

    void SetUp() override {
        folder_ = std::filesystem::path(::testing::TempDir()) /
                  ("configuration_process_test_" + std::to_string(getpid()));
        std::filesystem::create_directories(folder_);
        const auto local = platform_.listen({.address = "127.0.0.1"});
        ASSERT_TRUE(local) << local.reason().detail;
        platform_address_ = to_text(*local);
        for (std::size_t i = 0; i < instance_count; ++i) {
            peer_ports_.push_back(find_free_port());
        }
    }

    void TearDown() override {
        for (auto& instance : instances_) {
            instance.reset();
        }
        std::filesystem::remove_all(folder_);
    }

    std::string write_file(const std::string& name, const std::string& text) {
        const std::string file = (folder_ / name).string();
        std::ofstream(file) << text;
        return file;
    }

    std::string write_service(const std::string& service, int queue_length) {
        return write_file(
            service + std::to_string(queue_length) + ".json",
            "{\"service\": \"" + service +
                "\", \"kind\": \"plain\",\n\"classes\": [{\"name\": \"c\",\n"
                "\"queue_length\": " +
                std::to_string(queue_length) +
                "}],\n\"callers\": [], \"upstreams\": []}\n");
    }

    static std::string zone_of(std::size_t i) {
        return "z" + std::to_string(i % zone_count);
    }

    std::string settings_of(std::size_t i) {
        std::string peers;
        for (std::size_t j = 0; j < instance_count; ++j) {
            if (j != i) {
                peers += (peers.empty() ? "" : ", ") +
                         ("{\"name\": \"i" + std::to_string(j)) +
                         "\", \"zone\": \"" + zone_of(j) +
                         "\", \"address\": \"127.0.0.1:" +
                         std::to_string(peer_ports_[j]) + "\"}";
            }
        }
        return "{\"instance\": \"i" + std::to_string(i) + "\", \"zone\": \"" +
               zone_of(i) +
               "\", \"caller_listen\": \"127.0.0.1:0\", \"operator_listen\": "
               "\"127.0.0.1:0\", \"peer_listen\": \"127.0.0.1:" +
               std::to_string(peer_ports_[i]) +
               "\", \"operator_key\": \"k\", \"peer_key\": \"p\", "
               "\"platform\": [\"" +
               platform_address_ +
               "\"], \"traffic_threads\": 1, \"log_level\": \"error\", "
               "\"chart_folder\": \"" SAVORYDOCK_SOURCE_DIR "/charts\", "
               "\"peers\": [" +
               peers + "]}";
    }

    void start(std::size_t i) {
        const std::string file =
            write_file("i" + std::to_string(i) + ".json", settings_of(i));
        instances_[i] = std::make_unique<child_process>(
            bin, "savorydock-entry", std::vector{"--settings=" + file});
        const std::string line = instances_[i]->wait_for_line("listening", 20s);
        const std::size_t begin = line.find("operator=");
        ASSERT_NE(begin, std::string::npos) << "instance " << i;
        const std::size_t value = begin + std::string("operator=").size();
        operators_[i] = line.substr(value, line.find(' ', value) - value);
    }

    void start_all() {
        for (std::size_t i = 0; i < instance_count; ++i) {
            start(i);
        }
    }

    [[nodiscard]] std::string all_operators() const {
        std::string list;
        for (std::size_t i = 0; i < instance_count; ++i) {
            if (instances_[i] != nullptr) {
                list += (list.empty() ? "" : ",") + operators_[i];
            }
        }
        return list;
    }

    /// Starts `savorydock publish --wait` for all running instances.
    std::unique_ptr<child_process> begin_publish(const std::string& name,
                                                 const std::string& file) {
        return std::make_unique<child_process>(
            bin, "savorydock",
            std::vector<std::string>{
                "publish", "--platform=" + platform_address_,
                "--operator_name=" + name, "--wait", "--operator_key=k",
                "--operator_address=" + all_operators(), file});
    }

    int publish(const std::string& name, const std::string& file) {
        const auto command = begin_publish(name, file);
        const std::string output = command->read_all();
        const int code = command->wait();
        EXPECT_EQ(code, 0) << output;
        return code;
    }

    /// Returns the revision that an instance uses; 0 if the instance is not
    /// ready or lacks the service.
    [[nodiscard]] store_revision revision_at(std::size_t i,
                                             const std::string& service) const {
        const auto answer =
            call_blocking(*parse_endpoint(operators_[i]),
                          {.target = "/v1/status",
                           .headers = {{"Authorization", "Bearer k"}}},
                          5s);
        if (!answer) {
            return 0;
        }
        const auto status = boost::json::parse(answer->body);
        const auto& configuration = status.at("configuration");
        if (!configuration.at("ready").as_bool()) {
            return 0;
        }
        for (const auto& row : configuration.at("services").as_array()) {
            if (row.at("service").as_string() == service) {
                return row.at("revision").to_number<store_revision>();
            }
        }
        return 0;
    }

    [[nodiscard]] store_revision stored_revision(const std::string& service) {
        return platform_.find(key_of(service_name(service)))->modified;
    }

    bool wait_for_revision(std::size_t i, const std::string& service,
                           store_revision revision) {
        for (int tries = 0; tries < 200; ++tries) {
            if (revision_at(i, service) == revision) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    std::filesystem::path folder_;
    fake_platform platform_;
    std::string platform_address_;
    std::vector<std::uint16_t> peer_ports_;
    std::array<std::unique_ptr<child_process>, instance_count> instances_;
    std::array<std::string, instance_count> operators_;
};

TEST_F(configuration_process_test,
       publish_with_slow_platform_reaches_all_nine) {
    start_all();
    platform_.add_fault({.delay = 1s});
    // During the first publish, platform calls may be in flight that began
    // before the delay was added.
    for (int queue_length = 1; queue_length <= 3; ++queue_length) {
        const std::string file = write_service("depth", queue_length);
        const auto begun = std::chrono::steady_clock::now();
        publish("ann", file);
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - begun);
        RecordProperty("publish_" + std::to_string(queue_length) + "_ms",
                       std::to_string(took.count()));
        std::cout << "publish " << queue_length << " in force on 9 after "
                  << took.count() << " ms\n";
        for (std::size_t i = 0; i < instance_count; ++i) {
            EXPECT_EQ(revision_at(i, "depth"), stored_revision("depth"));
        }
    }
}

TEST_F(configuration_process_test,
       publish_succeeds_despite_lost_answer_and_watch_gap) {
    start_all();
    publish("ann", write_service("depth", 1));
    platform_.add_fault(
        {.operation = "txn", .drop_answer_after_effect = true, .count = 1});
    platform_.add_fault({.operation = "watch", .gap = true, .count = 20});
    const std::uint64_t before = stored_revision("depth");
    publish("ann", write_service("depth", 2));
    EXPECT_GT(stored_revision("depth"), before);
    const auto envelope = parse_service_envelope(
        platform_.find(key_of(service_name("depth")))->value);
    ASSERT_TRUE(envelope);
    EXPECT_EQ(envelope->history.size(), 1U) << "published twice";
}

TEST_F(configuration_process_test,
       concurrent_publishes_conflict_only_on_the_same_service) {
    start_all();
    publish("ann", write_service("depth", 1));
    // The delay makes both commands read before either one writes.
    platform_.add_fault({.operation = "txn", .delay = 1s, .count = 2});
    auto bob = begin_publish("bob", write_service("depth", 2));
    auto cid = begin_publish("cid", write_service("depth", 3));
    const std::string bob_output = bob->read_all();
    const std::string cid_output = cid->read_all();
    const int bob_code = bob->wait();
    const int cid_code = cid->wait();
    constexpr int conflict = 4;
    EXPECT_EQ(std::min(bob_code, cid_code), 0);
    EXPECT_EQ(std::max(bob_code, cid_code), conflict);
    const bool is_bob_winner = bob_code == 0;
    const std::string& loser_output = is_bob_winner ? cid_output : bob_output;
    EXPECT_NE(loser_output.find(is_bob_winner ? "bob" : "cid"),
              std::string::npos)
        << loser_output;
    EXPECT_NE(loser_output.find("queue_length"), std::string::npos);
    auto first = begin_publish("bob", write_service("depth", 4));
    auto second = begin_publish("cid", write_service("other", 1));
    EXPECT_EQ(first->wait(), 0);
    EXPECT_EQ(second->wait(), 0);
    EXPECT_EQ(revision_at(0, "depth"), stored_revision("depth"));
    EXPECT_EQ(revision_at(0, "other"), stored_revision("other"));
}

TEST_F(configuration_process_test,
       restart_during_platform_outage_loads_from_peers) {
    start_all();
    publish("ann", write_service("depth", 1));
    publish("ann", write_service("depth", 2));
    const store_revision revision = stored_revision("depth");
    platform_.add_fault({.refuse = true});
    for (const std::size_t i : {0U, 5U}) {
        instances_[i].reset();
        start(i);
        EXPECT_TRUE(wait_for_revision(i, "depth", revision))
            << "instance " << i;
    }
    platform_.clear_faults();
    publish("ann", write_service("depth", 3));
}

} // namespace savorydock
