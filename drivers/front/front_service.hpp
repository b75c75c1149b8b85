#pragma once

#include "core/logger.hpp"
#include "core/metrics_registry.hpp"
#include "drivers/batch/job_store.hpp"
#include "drivers/front/caller_authenticator.hpp"
#include "drivers/front/job_call_handler.hpp"
#include "drivers/front/plain_caller.hpp"
#include "drivers/front/stream_forwarder.hpp"
#include "drivers/http/http_server.hpp"
#include "platform/request_codec.hpp"
#include "servers/admission/exit_admission.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace savorydock {

/// Counts of answers to callers by kind, for the metrics.
struct front_counters {
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t callers_gone = 0;
    std::uint64_t jobs_accepted = 0;
    std::uint64_t jobs_refused = 0;
    /// Refused because earlier runs crashed upstreams; included in `refused`.
    std::uint64_t suspects_refused = 0;
};

/// Serves callers: routes single requests, accepts batch jobs and returns their
/// results. Not thread safe: all calls must come from one traffic thread.
class front_service {
public:
    /// Called with the record of a job that was accepted or ended by this
    /// service.
    using job_listener = std::function<void(const job_record&)>;

    /// All references must outlive the service.
    front_service(fleet_state& fleet, plain_caller& plain,
                  stream_forwarder& streams, job_store& jobs,
                  suspect_list& suspects, metrics_registry& metrics,
                  logger& log, job_listener on_job);

    /// Handles one request of a caller and sends the response, unless the
    /// caller closes the connection first.
    boost::asio::awaitable<void> handle(http_exchange& exchange);

    /// The instance exits at this time. Requests that can't be expected to end
    /// before it are refused from now on. Those that run shortly before it are
    /// answered as possibly run; streams that have begun go on.
    void set_exit_time(steady_time time);

    /// Requests with a removed key must not run after this time; absent if keys
    /// follow the configuration like routes.
    void set_revocation_bound(std::optional<std::chrono::milliseconds> bound) {
        authenticator_.set_revocation_bound(bound);
    }

    [[nodiscard]] const front_counters& counters() const { return counters_; }
    [[nodiscard]] const identity_counters& identities() const {
        return authenticator_.counters();
    }

private:
    boost::asio::awaitable<void> serve(http_exchange& exchange);
    /// Returns once the exit is due, unless the answer has begun by then.
    boost::asio::awaitable<void> wait_for_exit(http_exchange& exchange);
    boost::asio::awaitable<void> answer_at_exit(http_exchange& exchange);
    void notify_job_listener(const job_id& job);
    boost::asio::awaitable<void> accept_job(http_exchange& exchange,
                                            const route_rule& route,
                                            const platform::caller_call& call,
                                            const authenticated_caller& caller);
    boost::asio::awaitable<void> forward(http_exchange& exchange,
                                         const route_rule& route,
                                         const platform::caller_call& call,
                                         const authenticated_caller& caller);
    boost::asio::awaitable<void>
    forward_stream(http_exchange& exchange, const route_rule& route,
                   const platform::caller_call& call,
                   const authenticated_caller& caller);
    boost::asio::awaitable<void> refuse(http_exchange& exchange,
                                        const std::string& request,
                                        unsigned status,
                                        const std::string& reason);
    boost::asio::awaitable<void>
    refuse_unknown_route(http_exchange& exchange, const std::string& request);
    /// Refuses a request that is blocked because it crashes upstreams.
    boost::asio::awaitable<void> refuse_suspect(http_exchange& exchange,
                                                const std::string& request);
    boost::asio::awaitable<void>
    refuse_until(http_exchange& exchange, const std::string& request,
                 unsigned status, const std::string& reason,
                 std::optional<std::chrono::milliseconds> retry_time);

    fleet_state& fleet_;
    plain_caller& plain_caller_;
    stream_forwarder& streams_;
    job_store& jobs_;
    suspect_list& suspects_;
    metrics_registry& metrics_;
    logger& log_;
    job_listener on_job_;
    exit_admission exit_;
    caller_authenticator authenticator_;
    job_call_handler job_calls_;
    /// When requests that still run are answered. Cancelled when it changes.
    steady_time last_answer_at_ = steady_time::max();
    std::optional<boost::asio::steady_timer> exit_timer_;
    front_counters counters_;
};

} // namespace savorydock
