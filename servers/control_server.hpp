#pragma once

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/log_event.hpp"
#include "core/outcome.hpp"
#include "servers/platform/platform_message.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace savorydock {

class configuration_view;

/// The subsystem that a message between instances belongs to. The values are
/// sent between instances.
enum class peer_topic : std::uint8_t {
    configuration = 1,
    membership = 2,
    limits = 3,
    delivery = 4,
    control = 5,
    weights = 6,
    explain = 7,
    feed_push = 8,
    feed_heartbeat = 9,
    feed_request = 10,
    runner_command = 11,
    run_report = 12,
    store_call = 13,
    store_answer = 14,
    job_notice = 15,
    result_request = 16,
    result_reply = 17,
    usage_counts = 18,
    usage_receipt = 19,
    worker_demand = 20,
    work_report = 21,
};

/// The topic with the highest number; keep it in step with the enumeration.
inline constexpr peer_topic last_peer_topic = peer_topic::work_report;

/// A message between two instances. `body` is a struct of the topic, encoded as
/// core/wire_codec.hpp defines.
struct peer_message {
    instance_id from;
    instance_id to;
    peer_topic topic = peer_topic::membership;
    std::string body;
};

/// The outcome of a request to an upstream: direct evidence of its health.
enum class upstream_evidence : std::uint8_t {
    answered,
    answered_slowly,
    refused_connection,
    connection_lost,
    timed_out,
    reported_leaving,
    reported_overloaded,
};

/// The evidence from one request that was sent to an upstream.
struct upstream_observation {
    service_name service;
    upstream_id upstream;
    upstream_evidence evidence = upstream_evidence::answered;
    /// Time from the first byte sent to the first byte received.
    std::chrono::microseconds latency{0};
};

/// Whether a call to an upstream sends an order or only reads its state.
enum class order_method : std::uint8_t {
    /// POST with a body.
    send_order,
    /// GET without a body.
    read_state,
};

/// A call to an upstream. Orders are absolute: they name the state to reach,
/// never a change relative to the current state.
///
/// The runtime checks `not_after` right before it writes to the socket. It
/// drops a call whose `not_after` has passed, because the lease that permits it
/// may have ended by then.
struct upstream_order {
    std::uint64_t ticket = 0;
    order_method method = order_method::send_order;
    service_name service;
    upstream_id upstream;
    endpoint address;
    fencing_number fencing = 0;
    /// The HTTP path and the JSON body.
    std::string path;
    std::string body;
    /// The latest time at which the call may be written to the socket.
    steady_time not_after{};
    /// How long the runtime waits for the answer after `not_after`.
    std::chrono::milliseconds timeout{0};
};

/// The result of an `upstream_order`. `answer` is the JSON from the upstream.
/// Failures: `lease_not_held` if the runtime dropped the call after
/// `not_after`, `not_run_no_upstream` if it could not connect,
/// `fencing_refused` with the body of a 409 response, `failed_by_upstream` with
/// the body of any other error response, `order_unknown` if bytes were sent but
/// no complete answer arrived.
struct order_reply {
    std::uint64_t ticket = 0;
    outcome<std::string> answer;
};

struct log_command {
    log_event event;
    std::string detail;
};

/// An action that a control server requests and the runtime carries out.
using control_command =
    std::variant<peer_message, platform_call, upstream_order, log_command>;

using command_list = std::vector<control_command>;

/// One subsystem on the control thread. It takes events and the current time,
/// and returns commands.
///
/// Threading: all methods are called on the control thread only. They must not
/// block, start a thread or read a clock. Implementations are deterministic
/// except for the random source that they are given.
class control_server {
public:
    virtual ~control_server() = default;

    /// The topic whose messages this server receives.
    [[nodiscard]] virtual peer_topic topic() const = 0;

    /// Called several times a second.
    virtual void on_tick(steady_time now, command_list& out) = 0;

    /// Handles a message from another instance. The body is untrusted input.
    virtual void on_peer_message(const peer_message& message, steady_time now,
                                 command_list& out) {
        static_cast<void>(message);
        static_cast<void>(now);
        static_cast<void>(out);
    }

    /// Handles the answer to a platform call of this server.
    virtual void on_platform_reply(const platform_reply& reply, steady_time now,
                                   command_list& out) {
        static_cast<void>(reply);
        static_cast<void>(now);
        static_cast<void>(out);
    }

    /// Handles the answer to a call that this server made to an upstream.
    virtual void on_order_reply(const order_reply& reply, steady_time now,
                                command_list& out) {
        static_cast<void>(reply);
        static_cast<void>(now);
        static_cast<void>(out);
    }

    /// Handles the evidence from one request to an upstream.
    virtual void on_observation(const upstream_observation& observation,
                                steady_time now, command_list& out) {
        static_cast<void>(observation);
        static_cast<void>(now);
        static_cast<void>(out);
    }

    /// Handles a new set of services that took effect on this instance.
    virtual void
    on_configuration(std::shared_ptr<const configuration_view> view,
                     steady_time now, command_list& out) {
        static_cast<void>(view);
        static_cast<void>(now);
        static_cast<void>(out);
    }
};

} // namespace savorydock
