#pragma once

#include "core/clock.hpp"
#include "core/logger.hpp"
#include "core/random_source.hpp"
#include "drivers/front/crash_guard.hpp"
#include "drivers/front/run_notice.hpp"
#include "drivers/http/http_client.hpp"
#include "servers/admission/exit_admission.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace savorydock {

/// One call to a plain HTTP service, with as many attempts on its upstreams as
/// the route allows.
struct plain_call_request {
    /// Must stay valid during the call.
    const route_rule& route;
    /// Must stay valid during the call, so that all attempts share its body.
    const http_request& request;
    std::string id;
    /// The organisation of the caller; empty if it has none.
    organisation_id organisation;
    /// The caller's own credentials and organisation header aren't passed on.
    bool strips_credentials = false;
    steady_time deadline;
    /// Whether the upstream gets the remaining time as its deadline.
    bool must_forward_deadline = true;
    /// Whether a slow attempt is abandoned sooner in favour of another one.
    bool is_urgent = false;
    /// How long an attempt may wait until an upstream's request limit allows
    /// it; until the deadline if absent.
    std::optional<std::chrono::milliseconds> max_limit_wait;
    /// Blocks the request once it has crashed several upstreams; null if it
    /// must not be blocked. Must stay valid during the call.
    crash_guard* guard = nullptr;
    /// Refuses the request if the instance exits too soon; null if it must not
    /// be refused. Must stay valid during the call.
    const exit_admission* exit = nullptr;
    /// Asked before each send until an upstream may have run the request: it
    /// isn't sent if this returns false. Always allowed if empty.
    std::function<bool()> is_allowed;
    /// Asked before each send, also after an upstream may have run the request:
    /// once it returns false, the call ends without another attempt. Always
    /// wanted if empty.
    std::function<bool()> is_wanted;
};

struct plain_call_result {
    /// The upstream's complete answer, which may be an error status.
    std::optional<http_response> answer;
    /// If there is no answer: whether an upstream may have started the request.
    bool may_have_run = false;
    /// If there is no answer: the reason.
    failure reason;
    std::uint32_t attempts = 0;
    /// Number of attempts that were answered with status 500.
    std::uint32_t failures = 0;
    /// If request limits prevented the call: when they would allow it.
    std::optional<std::chrono::milliseconds> retry_after;
    /// Whether the call was given up because the instance exits.
    bool is_exiting = false;
};

/// Sends calls to plain HTTP upstreams and retries them. Cancelling the
/// coroutine closes the connection in use, which makes the upstream drop the
/// call. Not thread safe: all calls must come from one traffic thread.
class plain_caller {
public:
    /// All references must outlive this object.
    plain_caller(http_client& client, fleet_state& fleet, random_source& random,
                 logger& log);

    boost::asio::awaitable<plain_call_result> call(plain_call_request request);

private:
    struct attempt_result;
    struct reserved_upstream {
        upstream_entry upstream;
        /// The request must not be sent earlier.
        steady_time send_at;
    };

    [[nodiscard]] static attempt_result make_failed(bool may_have_run,
                                                    failure reason);
    [[nodiscard]] steady_time attempt_deadline(const plain_call_request& call,
                                               const upstream_entry& upstream,
                                               std::uint32_t attempts_left,
                                               steady_time now) const;
    /// Whether the call may still be sent before the instance exits.
    [[nodiscard]] bool may_send(const plain_call_request& call,
                                const upstream_entry& upstream) const;
    /// Chooses an upstream and reserves a request there. Returns nothing if
    /// there is no upstream, or if the request limits don't allow the call in
    /// time; in the second case it says so in `result`.
    [[nodiscard]] std::optional<reserved_upstream>
    reserve_upstream(const plain_call_request& call,
                     const service_name& service, const call_cost* cost,
                     std::set<upstream_id>& tried, plain_call_result& result);
    boost::asio::awaitable<attempt_result>
    try_upstream(const plain_call_request& call, const upstream_entry& upstream,
                 const call_cost* cost, steady_time deadline,
                 run_notice& notice);

    http_client& client_;
    fleet_state& fleet_;
    random_source& random_;
    logger& log_;
};

} // namespace savorydock
