#pragma once

#include "core/endpoint.hpp"
#include "core/outcome.hpp"
#include "drivers/http/http_server.hpp"

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace savorydock {

/// Faults of a fake plain service; each count is used up by that many calls.
struct service_faults {
    std::chrono::milliseconds delay{0};
    /// The call runs and its answer is lost.
    std::uint32_t lost_answers = 0;
    /// The call is refused with 503 before it runs.
    std::uint32_t refusals = 0;
    /// A body that contains this text ends the process after it ran.
    std::string crash_on;
    bool is_leaving = false;
};

/// A stand-in for a plain service. POST /PATH runs the body and answers
/// {"ran": PATH, "body": ...}; GET /runs tells how often each body ran, the
/// ground truth for at-most-once. POST /faults sets faults.
///
/// Thread safe. Runs on a pool of its own.
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
