#pragma once

#include "core/endpoint.hpp"
#include "drivers/http/http_server.hpp"

#include <chrono>
#include <mutex>
#include <vector>

namespace savorydock {

/// A test double for an engine that accepts each order at once. Thread safe.
class fake_order_taker {
public:
    struct order {
        std::chrono::steady_clock::time_point at;
        http_request request;
    };

    fake_order_taker();
    ~fake_order_taker();

    [[nodiscard]] const endpoint& address() const { return address_; }
    [[nodiscard]] std::vector<order> orders() const;

private:
    boost::asio::awaitable<void> handle(http_exchange& exchange);

    traffic_pool pool_{1};
    mutable std::mutex mutex_;
    std::vector<order> orders_;
    http_server server_;
    endpoint address_;
};

} // namespace savorydock
