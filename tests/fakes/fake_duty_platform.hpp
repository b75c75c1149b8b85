#pragma once

#include "core/endpoint.hpp"
#include "drivers/http/http_server.hpp"

#include <atomic>
#include <mutex>
#include <vector>

namespace savorydock {

/// A test double for the platform's interface for duties: keeps the calls and
/// answers all with one status. Thread safe.
class fake_duty_platform {
public:
    fake_duty_platform();
    ~fake_duty_platform();

    [[nodiscard]] const endpoint& address() const { return address_; }
    [[nodiscard]] std::vector<http_request> calls() const;
    void set_status(unsigned status) { status_ = status; }

private:
    boost::asio::awaitable<void> handle(http_exchange& exchange);

    traffic_pool pool_{1};
    std::atomic<unsigned> status_ = 200;
    mutable std::mutex mutex_;
    std::vector<http_request> calls_;
    http_server server_;
    endpoint address_;
};

} // namespace savorydock
