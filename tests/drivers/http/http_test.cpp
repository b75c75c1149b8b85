#include "drivers/http/http_client.hpp"
#include "drivers/http/http_server.hpp"
#include "tests/fakes/raw_caller.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

namespace savorydock {

using namespace std::chrono_literals;
namespace asio = boost::asio;

class http_test : public ::testing::Test {
protected:
    endpoint serve(http_handler handler, caller_limits limits = {}) {
        server_.emplace(pool_, limits, std::move(handler));
        const auto address = server_->listen({"127.0.0.1", 0});
        EXPECT_TRUE(address) << address.reason().detail;
        return *address;
    }

    traffic_pool pool_{2};
    std::optional<http_server> server_;
};

TEST_F(http_test, complete_answer_is_delivered) {
    const auto address =
        serve([](http_exchange& exchange) -> asio::awaitable<void> {
            http_response response{.body = exchange.request().body + "!"};
            co_await exchange.respond(std::move(response));
        });
    const auto answer = call_blocking(
        address, {.method = "POST", .target = "/x", .body = "hello"}, 5s);
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->body, "hello!");
}

TEST_F(http_test, stream_without_an_end_is_truncated) {
    const auto address =
        serve([](http_exchange& exchange) -> asio::awaitable<void> {
            http_headers headers;
            co_await exchange.begin_stream(200, std::move(headers));
            std::string chunk = "part";
            co_await exchange.write_chunk(std::move(chunk));
        });
    const auto answer = call_blocking(address, {}, 5s);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.reason().code, result_code::failed_truncated);
}

TEST_F(http_test, stream_with_an_end_is_complete) {
    const auto address =
        serve([](http_exchange& exchange) -> asio::awaitable<void> {
            http_headers headers;
            co_await exchange.begin_stream(200, std::move(headers));
            std::string chunk = "part";
            co_await exchange.write_chunk(std::move(chunk));
            co_await exchange.end_stream();
        });
    const auto answer = call_blocking(address, {}, 5s);
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->body, "part");
}

TEST_F(http_test, refused_connection_is_not_run) {
    const auto answer = call_blocking({"127.0.0.1", 1}, {}, 5s);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.reason().code, result_code::not_run_no_upstream);
}

TEST_F(http_test, silent_server_is_unknown_at_the_deadline) {
    const auto address =
        serve([](http_exchange& exchange) -> asio::awaitable<void> {
            asio::steady_timer timer(co_await asio::this_coro::executor, 400ms);
            co_await timer.async_wait(asio::use_awaitable);
            http_response response;
            co_await exchange.respond(std::move(response));
        });
    const auto answer = call_blocking(address, {}, 50ms);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.reason().code, result_code::unknown_deadline);
}

TEST_F(http_test, body_over_the_limit_is_refused) {
    const auto address = serve(
        [](http_exchange& exchange) -> asio::awaitable<void> {
            http_response response;
            co_await exchange.respond(std::move(response));
        },
        {.max_body_bytes = 1024});
    const auto answer = call_blocking(
        address, {.method = "POST", .body = std::string(4096, 'x')}, 5s);
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 413U);
}

// Guards against 413 for requests that the configuration allows: an idle
// connection kept the limits from before a change.
TEST_F(http_test, raised_limits_apply_to_open_connections) {
    const auto address = serve(
        [](http_exchange& exchange) -> asio::awaitable<void> {
            http_response response;
            co_await exchange.respond(std::move(response));
        },
        {.max_body_bytes = 1'000});
    asio::io_context context(1);
    http_client client(context);
    std::vector<unsigned> statuses;
    const auto send = [&](std::size_t bytes) {
        asio::co_spawn(
            context,
            [&, bytes]() -> asio::awaitable<void> {
                http_request request{.method = "POST",
                                     .target = "/x",
                                     .body = std::string(bytes, 'a')};
                auto answer =
                    co_await client.call(address, std::move(request),
                                         std::chrono::steady_clock::now() + 2s);
                statuses.push_back(answer ? answer->status : 0);
            },
            asio::detached);
        context.restart();
        context.run();
    };
    send(10);
    server_->set_limits({.max_body_bytes = 4'000});
    std::this_thread::sleep_for(50ms);
    send(2'000);
    EXPECT_EQ(statuses, (std::vector<unsigned>{200, 200}));
    EXPECT_EQ(server_->open_connections(), 1U);
}

TEST_F(http_test, limits_that_may_be_old_refuse_nothing_for_good) {
    const auto address = serve(
        [](http_exchange& exchange) -> asio::awaitable<void> {
            http_response response;
            co_await exchange.respond(std::move(response));
        },
        {.max_body_bytes = 1'000});
    server_->set_limits_check([] { return false; });
    const auto answer = call_blocking(
        address,
        {.method = "POST", .target = "/x", .body = std::string(2'000, 'a')},
        5s);
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 503U);
    EXPECT_FALSE(answer->header("Retry-After").empty());
    EXPECT_EQ(answer->header("Connection"), "close");
}

// A request that crossed the end of a drain was handled while the process
// exited.
TEST_F(http_test, request_after_the_stop_is_refused_as_not_run) {
    std::atomic<int> calls = 0;
    const auto address =
        serve([&](http_exchange& exchange) -> asio::awaitable<void> {
            ++calls;
            http_response response;
            co_await exchange.respond(std::move(response));
        });
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    raw_caller caller(address);
    ASSERT_TRUE(caller.write(request));
    ASSERT_TRUE(caller.read_answer(1s));
    server_->stop_accepting();
    ASSERT_TRUE(caller.write(request));
    // The connection may also be closed with the request unread.
    if (const auto refused = caller.read_answer(1s)) {
        EXPECT_EQ(refused->status, 503U);
        EXPECT_EQ(refused->header("Connection"), "close");
        EXPECT_FALSE(refused->header("Retry-After").empty());
    }
    EXPECT_EQ(calls, 1);
}

} // namespace savorydock
