#include "drivers/http/http_client.hpp"
#include "drivers/http/http_server.hpp"
#include "tests/fakes/raw_caller.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace savorydock {

using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::size_t answer_bytes = 5U << 20U;

/// Echoes bodies, and answers requests without one at length.
class http_limits_test : public ::testing::Test {
protected:
    endpoint serve(caller_limits limits, std::size_t memory_bytes) {
        server_.emplace(
            pool_, limits,
            [](http_exchange& exchange) -> asio::awaitable<void> {
                http_response response{.body = exchange.request().body};
                if (response.body.empty()) {
                    response.body = make_long_body();
                }
                co_await exchange.respond(std::move(response));
            },
            http_server_options{.memory_bytes = memory_bytes});
        const auto address = server_->listen({"127.0.0.1", 0});
        EXPECT_TRUE(address) << address.reason().detail;
        return *address;
    }

    static std::string make_long_body() {
        std::string body;
        while (body.size() < answer_bytes) {
            body += std::to_string(body.size()) + ' ';
        }
        return body;
    }

    traffic_pool pool_{1};
    std::optional<http_server> server_;
};

} // namespace

// Guards against an answer that loses bytes where its parts meet.
TEST_F(http_limits_test, large_answer_is_written_in_parts_and_complete) {
    const auto address = serve({}, 64U << 20U);
    const auto answer = call_blocking(address, {.target = "/x"}, 10s);
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->body, make_long_body());
}

TEST_F(http_limits_test, request_without_memory_is_refused_as_not_run) {
    const auto address = serve({}, 200'000);
    const auto refused = call_blocking(
        address, {.method = "POST", .body = std::string(190'000, 'a')}, 5s);
    ASSERT_TRUE(refused) << refused.reason().detail;
    EXPECT_EQ(refused->status, 503U);
    EXPECT_EQ(refused->header("Savorydock-Result"), "100");
    EXPECT_FALSE(refused->header("Retry-After").empty());
    const auto small =
        call_blocking(address, {.method = "POST", .body = "small"}, 5s);
    ASSERT_TRUE(small) << small.reason().detail;
    EXPECT_EQ(small->body, "small");
}

// Guards against an answer that is cut because others hold the memory.
TEST_F(http_limits_test, answer_without_memory_is_never_taken_for_complete) {
    const auto address = serve({}, 200'000);
    EXPECT_FALSE(call_blocking(address, {.target = "/x"}, 5s));
}

// At the limit, new callers were refused while idle connections stayed.
TEST_F(http_limits_test, longest_idle_connection_makes_room_for_a_new_one) {
    const auto address = serve({.max_connections = 2}, 64U << 20U);
    const std::string request =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na";
    raw_caller oldest(address);
    ASSERT_TRUE(oldest.write(request));
    ASSERT_TRUE(oldest.read_answer(5s));
    raw_caller second(address);
    ASSERT_TRUE(second.write(request));
    ASSERT_TRUE(second.read_answer(5s));
    raw_caller third(address);
    ASSERT_TRUE(third.write(request));
    EXPECT_TRUE(third.read_answer(5s));
    ASSERT_TRUE(second.write(request));
    EXPECT_TRUE(second.read_answer(5s));
    oldest.write(request);
    EXPECT_FALSE(oldest.read_answer(1s));
}

// All attempts of a request share its body.
TEST_F(http_limits_test, body_of_the_options_is_sent_for_the_requests_own) {
    const auto address = serve({}, 64U << 20U);
    asio::io_context context(1);
    http_client client(context);
    const std::string body(100'000, 'b');
    std::optional<http_response> received;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            http_request request{.method = "POST", .target = "/x"};
            call_options options{.body = body};
            auto answer = co_await client.call(
                address, std::move(request),
                std::chrono::steady_clock::now() + 5s, std::move(options));
            if (answer) {
                received = std::move(*answer);
            }
        },
        asio::detached);
    context.run();
    ASSERT_TRUE(received);
    EXPECT_EQ(received->body, body);
}

} // namespace savorydock
