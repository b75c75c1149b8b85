#include "tests/fakes/child_process.hpp"
#include "tests/fakes/fake_users_store.hpp"
#include "tests/fakes/raw_caller.hpp"
#include "tests/fakes/raw_upstream.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

/// Runs one instance as a process whose configuration has organisations. Its
/// upstream keeps the heads of the requests that it gets.
class identity_process_test : public ::testing::Test {
protected:
    identity_process_test() {
        std::filesystem::create_directories(folder_);
        configure(R"("key-a1", "key-a2")");
        store_.put("servers/u", R"({"service": "s", "address": ")" +
                                    to_text(upstream_.address()) +
                                    R"(", "zone": "z", "version": "v1",
            "slots": 50, "state": "ready"})");
        std::ofstream(folder_ / "settings.toml")
            << "node_name = \"a\"\nrole = \"entry\"\nip = \"" << ip_
            << "\"\nzone = \"z\"\ninternal_ports = [7720,7735]\n"
            << "first_start = true\n[listen]\nfront = \"" << ip_
            << ":8161\"\n[bounds]\nstrict_revoke = true\nrevoke_ms = 5000\n"
            << "[platform]\naddress = \"" << to_text(store_.address())
            << "\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
            << "value_bytes = 1048576\nttl_min_ms = 1000\n";
        const auto path = folder_ / "settings.toml";
        ::setenv("SAVORYDOCK_SETTINGS", path.c_str(), 1);
        instance_.emplace(
            std::string(SAVORYDOCK_BINARY_DIR) + "/bin", "savorydock-node",
            std::vector<std::string>{"--log_level=debug", "entry"});
        EXPECT_TRUE(wait_for_status("key-a1", 200)) << "no request is served";
    }

    ~identity_process_test() override {
        instance_.reset();
        std::filesystem::remove_all(folder_);
    }

    /// Writes a configuration in which organisation "a" has these keys.
    void configure(const std::string& keys) {
        store_.put("op/config", R"({"version": )" + std::to_string(++version_) +
                                    R"(, "tenants": [
            {"name": "a", "api_keys": [)" +
                                    keys + R"(]},
            {"name": "b", "api_keys": ["key-b1"]}], "routes": [
            {"name": "plain", "host": "h", "prefix": "/plain/",
             "route_type": "safe", "service": "s", "max_attempts": 2},
            {"name": "open", "host": "h", "prefix": "/open/", "public": true,
             "route_type": "safe", "service": "s", "max_attempts": 2},
            {"name": "stream", "host": "h", "prefix": "/stream/",
             "route_type": "streaming", "service": "s", "max_attempts": 2},
            {"name": "job", "host": "h", "prefix": "/job/",
             "route_type": "batch", "service": "e"},
            {"name": "open_job", "host": "h", "prefix": "/open_job/",
             "route_type": "batch", "service": "e", "public": true}],
            "services": [{"name": "s", "health_path": "/", "max_conns": 100}]})");
    }

    /// Sends a request with the key, if it isn't empty, and a false
    /// organisation.
    http_response call(const std::string& method, const std::string& target,
                       const std::string& key, const std::string& id,
                       const std::string& body = {}) {
        try {
            raw_caller caller({.address = ip_, .port = 8161});
            caller.write(
                method + ' ' + target +
                " HTTP/1.1\r\nHost: h\r\ntenant: forged\r\n"
                "Request-Id: " +
                id + "\r\nDeadline-Ms: 4000\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n" +
                (key.empty() ? "" : "authorization: Bearer " + key + "\r\n") +
                "\r\n" + body);
            return caller.read_answer(4s).value_or(http_response{.status = 0});
        } catch (const boost::system::system_error&) {
            return {.status = 0};
        }
    }

    bool wait_for_status(const std::string& key, unsigned status) {
        for (int tries = 0; tries < 150; ++tries) {
            if (call("GET", "/plain/w", key, "w").status == status) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
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
                heads_[id] = request;
            }
            const bool is_retried = request.find("/retry") != request.npos &&
                                    !has_failed_.exchange(true);
            connection.write(std::string("HTTP/1.1 ") +
                             (is_retried ? "500" : "200") +
                             " X\r\nRequest-Id: " + id +
                             "\r\nServer-Stamp: s\r\nContent-Length: 0\r\n"
                             "\r\n");
        }
    }

    /// Returns the head of the request with this id, or an empty string.
    std::string head_of(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return heads_[id];
    }

    std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() /
        ("identity_process_test." + std::to_string(getpid()));
    /// Concurrent runs get loopback addresses of their own.
    std::string ip_ = "127.30." + std::to_string(getpid() / 250 % 250) + "." +
                      std::to_string(getpid() % 250 + 1);
    std::uint64_t version_ = 0;
    /// The upstream fails the first request for a retry.
    std::atomic<bool> has_failed_ = false;
    std::mutex mutex_;
    std::map<std::string, std::string> heads_;
    fake_users_store store_;
    raw_upstream upstream_{
        [this](raw_connection& connection, std::size_t) { serve(connection); }};
    std::optional<child_process> instance_;
};

} // namespace

// Guards against keys that reach an upstream, and organisations that callers
// name themselves.
TEST_F(identity_process_test, upstream_gets_the_organisation_and_no_key) {
    struct expectation {
        const char* target;
        const char* key;
        unsigned status;
        const char* organisation;
    };
    for (const expectation& one :
         {expectation{"/plain/x", "key-a1", 200, "a"},
          expectation{"/plain/x", "key-b1", 200, "b"},
          expectation{"/plain/retry", "key-a1", 200, "a"},
          expectation{"/stream/x", "key-a2", 200, "a"},
          expectation{"/open/x", "key-b1", 200, "b"},
          expectation{"/open/x", "wrong", 200, ""},
          expectation{"/open/x", "", 200, ""},
          expectation{"/plain/x", "wrong", 401, ""},
          expectation{"/stream/x", "", 401, ""}}) {
        const std::string id = std::string(one.target) + one.key;
        EXPECT_EQ(call("GET", one.target, one.key, id).status, one.status)
            << id;
        const std::string head = head_of(id);
        EXPECT_EQ(head.empty(), one.status != 200) << id;
        EXPECT_EQ(header_of(head, "Tenant"), one.organisation) << head;
        EXPECT_EQ(head.find("uthorization"), std::string::npos) << head;
        EXPECT_EQ(head.find("forged"), std::string::npos) << head;
    }
}

TEST_F(identity_process_test, job_belongs_to_its_organisation) {
    const std::string items =
        R"({"items": [{"id": "i", "path": "/p", "headers":
            {"Authorization": "Bearer key-a1", "Tenant": "forged"},
            "body": "Ym9keQ==", "tokens": 1}]})";
    EXPECT_EQ(call("POST", "/job/", "", "j", items).status, 401U);
    ASSERT_EQ(call("POST", "/job/", "key-a1", "j", items).status, 202U);
    EXPECT_EQ(call("POST", "/job/", "key-b1", "j", items).status, 404U);
    for (const char* const path : {"/savorydock/lots/", "/savorydock/items/"}) {
        const std::string query = "?id=i";
        EXPECT_EQ(call("GET", path + ("j" + query), "key-a2", "r").status,
                  200U);
        const auto foreign = call("GET", path + ("j" + query), "key-b1", "r");
        const auto unknown = call("GET", path + ("x" + query), "key-b1", "r");
        EXPECT_EQ(foreign.status, 404U);
        EXPECT_EQ(foreign.status, unknown.status);
        EXPECT_EQ(foreign.body, unknown.body);
        EXPECT_EQ(call("GET", path + ("j" + query), "", "r").status, 401U);
    }
    EXPECT_EQ(call("DELETE", "/savorydock/lots/j", "key-b1", "r").status, 404U);
    EXPECT_EQ(call("DELETE", "/savorydock/lots/j", "key-a2", "r").status, 200U);
    for (const auto& [key, value] : store_.values()) {
        EXPECT_TRUE(key == "op/config" ||
                    value.value.find("key-") == std::string::npos)
            << key << ": " << value.value;
    }
    // A record that an older build wrote.
    store_.put("c/job/old", R"({"route": "job", "host": "h", "service": "e",
        "total": 1, "parts": 1, "accepted_at": 1, "ended": true,
        "complete": false})");
    EXPECT_EQ(call("GET", "/savorydock/lots/old", "key-b1", "r").status, 200U);
    EXPECT_EQ(call("GET", "/savorydock/lots/old", "x", "r").status, 401U);
    // Jobs of a public route need no key.
    EXPECT_EQ(call("POST", "/open_job/", "", "o", items).status, 202U);
    EXPECT_EQ(call("GET", "/savorydock/lots/o", "", "r").status, 200U);
    EXPECT_EQ(call("GET", "/savorydock/lots/j", "", "r").status, 401U);
    instance_->send(SIGTERM);
    const std::string log = instance_->read_all();
    EXPECT_NE(log.find("organisation=a"), std::string::npos);
    EXPECT_EQ(log.find("key-"), std::string::npos) << "a key is logged";
}

// Guards against keys that work after their removal, also while the store is
// away.
TEST_F(identity_process_test, removed_key_is_refused) {
    configure(R"("key-a2", "key-a3")");
    EXPECT_TRUE(wait_for_status("key-a1", 401));
    EXPECT_EQ(call("GET", "/plain/x", "key-a3", "x").status, 200U);
    store_.set_refusing(true);
    EXPECT_TRUE(wait_for_status("key-a3", 503)) << "the view is too old";
    EXPECT_EQ(call("GET", "/open/x", "key-a3", "y").status, 200U);
    EXPECT_FALSE(head_of("y").empty());
    EXPECT_EQ(header_of(head_of("y"), "Tenant"), "");
    store_.set_refusing(false);
    EXPECT_TRUE(wait_for_status("key-a3", 200));
}
