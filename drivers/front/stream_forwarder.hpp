#pragma once

#include "core/logger.hpp"
#include "core/random_source.hpp"
#include "drivers/front/crash_guard.hpp"
#include "drivers/front/stream_ledger.hpp"
#include "drivers/http/http_client.hpp"
#include "drivers/http/http_server.hpp"
#include "platform/request_codec.hpp"
#include "servers/admission/exit_admission.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace savorydock {

/// How a caller's stream ended.
enum class stream_end : std::uint8_t {
    /// The caller has the stream up to its end.
    complete,
    /// The stream began and broke; nothing may be appended to it.
    cut,
    /// The caller closed its connection.
    caller_gone,
    /// An upstream answered with a failure, before any event.
    failed,
    /// No upstream has started the request.
    refused,
    /// Nothing was sent to the caller, but an upstream may have started.
    unknown,
};

struct stream_result {
    stream_end end = stream_end::refused;
    /// Number of the last event that the caller has; 0 if it has none.
    std::uint64_t last_event = 0;
    /// If `failed`: the upstream's answer.
    std::optional<http_response> answer;
    /// If `refused` or `unknown`: the reason.
    std::string reason;
    /// If `refused`: whether the request itself is invalid, and when to retry
    /// otherwise.
    bool is_invalid = false;
    std::optional<std::chrono::milliseconds> retry_after;
};

struct stream_request {
    http_exchange& exchange;
    const route_rule& route;
    const platform::caller_call& call;
    crash_guard& guard;
    steady_time deadline;
    /// The organisation of the caller; empty if it has none.
    organisation_id organisation;
    /// The caller's own credentials and organisation header aren't passed on.
    bool strips_credentials = false;
    /// Asked before each send until an upstream may have run the request: it
    /// isn't sent if this returns false. Always allowed if empty.
    std::function<bool()> is_allowed;
};

/// Passes the stream of an upstream to a caller. If it breaks, continues it at
/// another upstream with the same software version, and so does a caller's
/// further attempt at any instance: the origin of a stream is known to the
/// store before its first event is sent. Only complete events are passed on, so
/// that a continued stream has no gap.
///
/// Not thread safe: all calls must come from one traffic thread.
class stream_forwarder {
public:
    /// All references must outlive the forwarder.
    stream_forwarder(fleet_state& fleet, http_client& client,
                     stream_ledger& ledger, random_source& random, logger& log);

    /// The instance exits at this time. Streams that probably wouldn't end
    /// before it are refused from now on.
    void set_exit_time(steady_time time) { exit_.set_exit_time(time); }

    /// Runs the request. Sends the caller the stream, but neither refusals nor
    /// answers of upstreams without a stream. The references in `request` must
    /// stay valid during the call.
    boost::asio::awaitable<stream_result> forward(stream_request request);

private:
    struct progress;
    /// What follows an attempt, or a part of it.
    enum class attempt_end : std::uint8_t {
        /// The result is final.
        finished,
        /// The attempt goes on, or another one follows if it may.
        unfinished,
    };

    /// Finds out which upstreams may continue the stream that the caller took
    /// up. Returns false if none can; the result says why.
    boost::asio::awaitable<bool> find_origin(const stream_request& request,
                                             progress& state);
    [[nodiscard]] std::optional<upstream_entry>
    choose_upstream(const stream_request& request, progress& state) const;
    /// Whether the store must have a record of the stream, if it begins here.
    [[nodiscard]] bool needs_record(const stream_request& request,
                                    const stream_origin& origin) const;
    /// Makes sure that the stream's further attempts find its origin.
    boost::asio::awaitable<attempt_end>
    record_origin(const stream_request& request, stream_origin origin,
                  progress& state);
    boost::asio::awaitable<attempt_end>
    begin_stream(const stream_request& request, const upstream_entry& upstream,
                 http_stream& stream, progress& state);
    boost::asio::awaitable<attempt_end>
    try_upstream(const stream_request& request, const upstream_entry& upstream,
                 progress& state);
    boost::asio::awaitable<attempt_end>
    pass_on_events(const stream_request& request,
                   const upstream_entry& upstream, http_stream& stream,
                   progress& state);
    boost::asio::awaitable<attempt_end>
    read_failure(const stream_request& request, http_stream& stream,
                 progress& state);

    fleet_state& fleet_;
    http_client& client_;
    stream_ledger& ledger_;
    random_source& random_;
    logger& log_;
    exit_admission exit_;
};

} // namespace savorydock
