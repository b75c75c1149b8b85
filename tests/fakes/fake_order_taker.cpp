#include "tests/fakes/fake_order_taker.hpp"

#include <stdexcept>
#include <string>

namespace savorydock {

fake_order_taker::fake_order_taker()
    : server_(pool_, caller_limits{},
              [this](http_exchange& exchange) { return handle(exchange); }) {
    const auto bound = server_.listen({.address = "127.0.0.1", .port = 0});
    if (!bound) {
        throw std::runtime_error(bound.reason().detail);
    }
    address_ = *bound;
}

fake_order_taker::~fake_order_taker() {
    server_.stop_accepting();
    pool_.stop();
}

std::vector<fake_order_taker::order> fake_order_taker::orders() const {
    const std::lock_guard lock(mutex_);
    return orders_;
}

boost::asio::awaitable<void> fake_order_taker::handle(http_exchange& exchange) {
    http_response answer{.status = 202};
    {
        const std::lock_guard lock(mutex_);
        if (exchange.request().target == "/savorydock/report") {
            answer = {.status = 200,
                      .body = R"({"busy":false,"sequence":)" +
                              std::to_string(orders_.size()) + "}"};
        } else {
            orders_.push_back({.at = std::chrono::steady_clock::now(),
                               .request = exchange.request()});
        }
    }
    co_await exchange.respond(std::move(answer));
}

} // namespace savorydock
