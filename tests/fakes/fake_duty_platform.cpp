#include "tests/fakes/fake_duty_platform.hpp"

#include <stdexcept>

namespace savorydock {

fake_duty_platform::fake_duty_platform()
    : server_(pool_, caller_limits{},
              [this](http_exchange& exchange) { return handle(exchange); }) {
    const auto bound = server_.listen({.address = "127.0.0.1", .port = 0});
    if (!bound) {
        throw std::runtime_error(bound.reason().detail);
    }
    address_ = *bound;
}

fake_duty_platform::~fake_duty_platform() {
    server_.stop_accepting();
    pool_.stop();
}

std::vector<http_request> fake_duty_platform::calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
}

boost::asio::awaitable<void>
fake_duty_platform::handle(http_exchange& exchange) {
    {
        const std::lock_guard lock(mutex_);
        calls_.push_back(exchange.request());
    }
    http_response answer{.status = status_};
    co_await exchange.respond(std::move(answer));
}

} // namespace savorydock
