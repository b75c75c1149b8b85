#include "drivers/entry/entry_executor.hpp"
#include "drivers/http/http_server.hpp"

#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <optional>

namespace savorydock {

using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

class null_transport final : public peer_transport {
public:
    void send(const peer_message&, const endpoint&) override {}
    void on_message(message_handler) override {}
};

class null_store final : public platform_store {
public:
    void submit(const platform_request&, steady_time, reply_handler) override {}
};

} // namespace

class entry_executor_test : public ::testing::Test {
protected:
    void SetUp() override {
        server_.emplace(
            pool_, caller_limits{},
            [this](http_exchange& exchange) -> asio::awaitable<void> {
                ++requests_;
                if (status_ != 0) {
                    http_response response{.status = status_, .body = "{}"};
                    co_await exchange.respond(std::move(response));
                }
            });
        address_ = *server_->listen({"127.0.0.1", 0});
    }
    void TearDown() override { pool_.stop(); }

    order_reply execute(const endpoint& target,
                        std::chrono::milliseconds left) {
        std::promise<order_reply> promise;
        auto reply = promise.get_future();
        executor_.execute_order(
            {.ticket = 7,
             .address = target,
             .path = "/v1/orders",
             .not_after = std::chrono::steady_clock::now() + left,
             .timeout = 5s},
            [&](order_reply answer) { promise.set_value(std::move(answer)); });
        return reply.get();
    }

    traffic_pool pool_{2};
    null_transport peers_;
    null_store platform_;
    entry_executor executor_{pool_.context(0), peers_, platform_};
    std::optional<http_server> server_;
    endpoint address_;
    std::atomic<unsigned> status_{200};
    std::atomic<std::uint32_t> requests_{0};
};

struct order_row {
    const char* name;
    unsigned status;
    std::chrono::milliseconds left;
    result_code code;
    std::uint32_t requests;
};

TEST_F(entry_executor_test,
       order_reply_shows_whether_upstream_received_the_order) {
    using enum result_code;
    const order_row rows[] = {
        {"done", 200, 5s, ok, 1},
        {"old fencing number", 409, 5s, fencing_refused, 1},
        {"failed swap", 500, 5s, failed_by_upstream, 1},
        {"answer lost", 0, 5s, order_unknown, 1},
        {"lease expired", 200, -1ms, not_run_no_upstream, 0},
    };
    for (const order_row& row : rows) {
        status_ = row.status;
        requests_ = 0;
        const order_reply reply = execute(address_, row.left);
        EXPECT_EQ(reply.answer.reason().code, row.code) << row.name;
        EXPECT_EQ(reply.ticket, 7U) << row.name;
        EXPECT_EQ(requests_, row.requests) << row.name;
    }
    EXPECT_EQ(execute({"127.0.0.1", 1}, 5s).answer.reason().code,
              not_run_no_upstream);
}

} // namespace savorydock
