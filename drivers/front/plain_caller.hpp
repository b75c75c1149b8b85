#pragma once

#include "core/clock.hpp"
#include "core/logger.hpp"
#include "core/random_source.hpp"
#include "drivers/http/http_client.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace savorydock {

/// One call to a plain service, over as many upstreams as its route allows.
struct plain_call_request {
    /// Must stay valid during the call.
    const route_rule& route;
    http_request request;
    std::string id;
    steady_time deadline;
    /// The caller's first deadline header is passed on as what is left.
    bool must_pass_deadline = true;
    /// An attempt that takes long is given up sooner for another one.
    bool is_urgent = false;
};

struct plain_call_result {
    /// The upstream's whole answer, also if it is a failure.
    std::optional<http_response> answer;
    /// Without an answer: an upstream may have begun.
    bool may_have_run = false;
    /// Without an answer: why.
    failure reason;
    std::uint32_t attempts = 0;
    /// Answers with status 500 among the attempts.
    std::uint32_t failures = 0;
};

/// Sends calls to plain upstreams with retries. Belongs to one traffic
/// thread. Cancelling the coroutine closes the connection in use, by which
/// the upstream drops the call.
class plain_caller {
public:
    /// All references must outlive the caller.
    plain_caller(http_client& client, fleet_state& fleet, random_source& random,
                 logger& log);

    boost::asio::awaitable<plain_call_result> call(plain_call_request request);

private:
    struct attempt_result;

    [[nodiscard]] static attempt_result make_failed(bool may_have_run,
                                                    failure reason);
    [[nodiscard]] service_name pick_service(const route_rule& route);
    [[nodiscard]] steady_time attempt_deadline(const plain_call_request& call,
                                               const upstream_entry& upstream,
                                               std::uint32_t attempts_left,
                                               steady_time now) const;
    boost::asio::awaitable<attempt_result>
    try_upstream(const plain_call_request& call, const upstream_entry& upstream,
                 steady_time deadline);

    http_client& client_;
    fleet_state& fleet_;
    random_source& random_;
    logger& log_;
};

} // namespace savorydock
