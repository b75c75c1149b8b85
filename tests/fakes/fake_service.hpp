#pragma once

#include "core/endpoint.hpp"
#include "core/outcome.hpp"
#include "drivers/http/http_server.hpp"

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace savorydock {

/// Injected faults of a fake plain service. Each affected call reduces its
/// count by one.
struct service_faults {
    std::chrono::milliseconds delay{0};
    /// Calls that run without sending a response.
    std::uint32_t lost_answers = 0;
    /// Calls that are rejected with 503 before they run.
    std::uint32_t refusals = 0;
    /// The process exits when a request body contains this text; the call
    /// counts as run.
    std::string crash_on;
    bool is_leaving = false;
};

/// A test double for a plain service. POST /PATH runs the body and responds
/// with {"ran": PATH, "body": ...}. GET /runs returns how often each body ran;
/// tests compare it with the at-most-once guarantee. POST /faults sets faults.
///
/// Thread safe. Runs on its own thread pool.
class fake_service {
public:
    explicit fake_service(service_faults faults);

    [[nodiscard]] outcome<endpoint> listen(const endpoint& address);
    [[nodiscard]] std::map<std::string, std::uint32_t> runs() const;
    void set_faults(const service_faults& faults);

private:
    boost::asio::awaitable<void> handle(http_exchange& exchange);
    boost::asio::awaitable<void> run(http_exchange& exchange);
    boost::asio::awaitable<void> change_faults(http_exchange& exchange);
    boost::asio::awaitable<void> send_runs(http_exchange& exchange);

    mutable std::mutex mutex_;
    service_faults faults_;
    std::map<std::string, std::uint32_t> runs_;
    traffic_pool pool_{1};
    http_server server_;
};

} // namespace savorydock
