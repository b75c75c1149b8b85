// Sends every row of docs/BAD_INPUTS.md to a complete instance that runs in
// this process.
#include "drivers/entry/entry_instance.hpp"
#include "drivers/http/http_client.hpp"
#include "drivers/platform_kv/publisher.hpp"
#include "tests/fakes/fake_platform.hpp"
#include "tests/fakes/fake_service.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <thread>

namespace savorydock {

using namespace std::chrono_literals;
namespace asio = boost::asio;

struct bad_input {
    const char* name;
    http_request request;
    unsigned status;
    result_code code;
};

class bad_input_test : public ::testing::Test {
protected:
    static constexpr std::uint32_t max_body_bytes = 4'096;

    void SetUp() override {
        const auto platform = platform_.listen({.address = "127.0.0.1"});
        const auto service = service_.listen({.address = "127.0.0.1"});
        ASSERT_TRUE(platform && service);
        publish(*platform, *service);
        instance_settings settings;
        settings.instance = instance_id("i");
        settings.zone = availability_zone("z");
        settings.caller_listen = {.address = "127.0.0.1"};
        settings.operator_listen = settings.caller_listen;
        settings.peer_listen = settings.caller_listen;
        settings.operator_key = "operator";
        settings.peer_key = "peer";
        settings.platform = {*platform};
        settings.log_level = "error";
        settings.chart_folder = SAVORYDOCK_SOURCE_DIR "/charts";
        settings.limits = {.max_header_bytes = 1'024,
                           .max_body_bytes = max_body_bytes,
                           .io_timeout = 300ms};
        auto started = entry_instance::start(settings);
        ASSERT_TRUE(started) << started.reason().detail;
        instance_ = std::move(*started);
        wait_until_ready();
    }

    void publish(const endpoint& platform, const endpoint& service) {
        const std::string common =
            R"(, "classes": [{"name": "c"}],
               "callers": [{"name": "a", "key": "k", "class": "c"}],
               "upstreams": [{"name": "u", "zone": "z", "address": ")" +
            to_text(service) + R"("}], )";
        const std::string plain =
            write("plain", R"({"service": "plain", "kind": "plain")" + common +
                               R"("calls": [{"path": "/read",
                                   "idempotent": true}]})");
        const std::string model =
            write("model", R"({"service": "model", "kind": "model")" + common +
                               R"("weights": {}})");
        publisher target({.platform = {platform}, .operator_name = "test"});
        const auto published = target.publish_files({plain, model});
        ASSERT_TRUE(published) << published.reason().detail;
    }

    static std::string write(const std::string& name, const std::string& text) {
        const std::string file = ::testing::TempDir() + "bad_input_" +
                                 std::to_string(getpid()) + name + ".json";
        std::ofstream(file) << text;
        return file;
    }

    void wait_until_ready() {
        for (int i = 0; i < 200; ++i) {
            const auto answer = call_blocking(instance_->operator_address(),
                                              {.target = "/v1/ready"}, 1s);
            if (answer && answer->status == 200) {
                return;
            }
            std::this_thread::sleep_for(50ms);
        }
        FAIL() << "the instance did not become ready";
    }

    static http_request post(std::string path, std::string body,
                             http_headers headers = {}) {
        headers.push_back({"Authorization", "Bearer k"});
        return {.method = "POST",
                .target = std::move(path),
                .headers = std::move(headers),
                .body = std::move(body)};
    }

    void expect_served() {
        const auto answer =
            call_blocking(instance_->caller_address(),
                          post("/v1/services/plain/read", "x"), 5s);
        ASSERT_TRUE(answer) << answer.reason().detail;
        EXPECT_EQ(answer->status, 200U);
    }

    /// Sends raw bytes and returns everything received until the connection is
    /// closed.
    std::string send_raw(const std::string& bytes) {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        const endpoint& target = instance_->caller_address();
        socket.connect({asio::ip::make_address(target.address), target.port});
        asio::write(socket, asio::buffer(bytes));
        std::string answer;
        boost::system::error_code ended;
        asio::read(socket, asio::dynamic_buffer(answer), ended);
        return answer;
    }

    fake_platform platform_;
    fake_service service_{{}};
    std::unique_ptr<entry_instance> instance_;
};

TEST_F(bad_input_test, each_row_gets_its_code_and_the_next_is_served) {
    const std::string nested(200, '[');
    const http_request no_key{
        .method = "POST", .target = "/v1/services/plain/read", .body = "x"};
    http_request wrong_key = no_key;
    wrong_key.headers = {{"Authorization", "Bearer other"}};
    const std::vector<bad_input> rows{
        {"unknown path", post("/v2/x", ""), 404, result_code::not_found},
        {"no key", no_key, 401, result_code::not_run_unauthorized},
        {"wrong key", wrong_key, 401, result_code::not_run_unauthorized},
        {"unknown service", post("/v1/services/none/x", ""), 404,
         result_code::not_run_unknown_service},
        {"plain call to a model", post("/v1/services/model/x", ""), 400,
         result_code::not_run_bad_request},
        {"completion of a plain service",
         post("/v1/completions", R"({"model": "plain", "prompt": "p"})"), 400,
         result_code::not_run_bad_request},
        {"body that is not JSON", post("/v1/completions", "{"), 400,
         result_code::not_run_bad_request},
        {"body nested too deeply", post("/v1/completions", nested), 400,
         result_code::not_run_bad_request},
        {"body without a model", post("/v1/completions", "{}"), 400,
         result_code::not_run_bad_request},
        {"unknown member",
         post("/v1/completions",
              R"({"model": "model", "prompt": "p", "promt": "q"})"),
         400, result_code::not_run_bad_request},
        {"tokens out of range",
         post("/v1/completions",
              R"({"model": "model", "prompt": "p", "max_tokens": -1})"),
         400, result_code::not_run_bad_request},
        {"step without groups",
         post("/v1/steps", R"({"model": "model", "step": 1, "groups": []})"),
         400, result_code::not_run_bad_request},
        {"step with a bitmap of another size",
         post("/v1/steps", R"({"model": "model", "step": 1, "held": "01",
                               "groups": [{"prompt": "p"}]})"),
         400, result_code::not_run_bad_request},
        {"body over the limit",
         post("/v1/services/plain/read", std::string(max_body_bytes + 1, 'x')),
         413, result_code::not_run_too_large},
        {"header over the limit",
         post("/v1/services/plain/read", "x",
              {{"X-Long", std::string(2'048, 'x')}}),
         413, result_code::not_run_too_large},
        {"non-idempotent call without a key",
         post("/v1/services/plain/write", "x"), 400,
         result_code::not_run_key_required},
        {"idempotency key with invalid characters",
         post("/v1/services/plain/write", "x",
              {{"Idempotency-Key", "a b"}, {"Savorydock-Attempt", "1"}}),
         400, result_code::not_run_bad_request},
        // Without an attempt number, an earlier attempt with this key may have
        // run, so the result must not be "not run".
        {"invalid idempotency key without an attempt",
         post("/v1/services/plain/write", "x", {{"Idempotency-Key", "a b"}}),
         503, result_code::unknown_earlier_sending},
        {"attempt that is not a number",
         post("/v1/services/plain/read", "x", {{"Savorydock-Attempt", "one"}}),
         400, result_code::not_run_bad_request},
        {"deadline that is not a positive number",
         post("/v1/services/plain/read", "x",
              {{"Savorydock-Deadline-Ms", "-5"}}),
         400, result_code::not_run_bad_request},
    };
    for (const bad_input& row : rows) {
        const auto answer =
            call_blocking(instance_->caller_address(), row.request, 5s);
        ASSERT_TRUE(answer) << row.name << ": " << answer.reason().detail;
        EXPECT_EQ(answer->status, row.status) << row.name << answer->body;
        EXPECT_EQ(answer->header("Savorydock-Result"),
                  std::to_string(static_cast<unsigned>(row.code)))
            << row.name << ": " << answer->body;
        expect_served();
    }
    EXPECT_FALSE(service_.runs().contains(""));
}

TEST_F(bad_input_test, bytes_that_are_not_http_get_400) {
    const std::string answer = send_raw("\x01\x02 nonsense\r\n\r\n");
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 400") << answer;
    expect_served();
}

TEST_F(bad_input_test, slow_caller_is_disconnected_and_others_are_served) {
    std::thread slow(
        [this] { EXPECT_EQ(send_raw("POST / HTTP/1.1\r\n"), ""); });
    expect_served();
    slow.join();
    expect_served();
}

TEST_F(bad_input_test, operator_requests_without_the_key_are_refused) {
    for (const char* const path : {"/v1/status", "/v1/explain/x"}) {
        const auto answer =
            call_blocking(instance_->operator_address(), {.target = path}, 5s);
        ASSERT_TRUE(answer) << answer.reason().detail;
        EXPECT_EQ(answer->status, 401U) << path;
    }
    const auto drained =
        call_blocking(instance_->operator_address(),
                      {.method = "POST", .target = "/v1/drain"}, 5s);
    ASSERT_TRUE(drained);
    EXPECT_EQ(drained->status, 401U);
    EXPECT_FALSE(instance_->is_drain_wanted());
}

TEST_F(bad_input_test, repeated_operator_requests_with_the_key_are_answered) {
    // One subject too long for the small string optimization and one short
    // enough for it; they must survive as captures, see the note on closures in
    // operator_api.cpp.
    for (const std::string& subject :
         {std::string(100, 'x'), std::string("x")}) {
        for (const char* const path : {"/v1/explain/", "/v1/clear/"}) {
            const bool is_clear = path == std::string("/v1/clear/");
            const auto answer = call_blocking(
                instance_->operator_address(),
                {.method = is_clear ? "POST" : "GET",
                 .target = path + subject,
                 .headers = {{"Authorization", "Bearer operator"}}},
                5s);
            ASSERT_TRUE(answer) << answer.reason().detail;
            EXPECT_EQ(answer->status, 200U) << answer->body;
        }
    }
    expect_served();
    const auto metrics = call_blocking(instance_->operator_address(),
                                       {.target = "/metrics"}, 5s);
    ASSERT_TRUE(metrics);
    EXPECT_NE(metrics->body.find("savorydock_chart_violations_total 0\n"),
              std::string::npos)
        << metrics->body;
}

TEST_F(bad_input_test, drain_waits_for_the_running_call) {
    service_.set_faults({.delay = 700ms});
    std::thread caller([this] {
        const auto answer =
            call_blocking(instance_->caller_address(),
                          post("/v1/services/plain/read", "early"), 5s);
        ASSERT_TRUE(answer) << answer.reason().detail;
        EXPECT_EQ(answer->status, 200U) << answer->body;
    });
    while (!service_.runs().contains("early")) {
        std::this_thread::sleep_for(5ms);
    }
    EXPECT_TRUE(instance_->drain());
    instance_.reset();
    caller.join();
}

TEST_F(bad_input_test, draining_instance_refuses_as_not_run) {
    instance_->drain();
    const auto answer =
        call_blocking(instance_->caller_address(),
                      post("/v1/services/plain/read", "late"), 5s);
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->header("Savorydock-Result"), "108");
    EXPECT_FALSE(service_.runs().contains("late"));
}

} // namespace savorydock
