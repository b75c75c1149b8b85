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

/// The subsystem that a message between instances is for.
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
    run_order = 11,
    run_report = 12,
    store_call = 13,
    store_answer = 14,
    job_notice = 15,
};

/// A message between two instances. `body` is a described struct of the
/// topic's own, in the form of core/wire_codec.hpp.
struct peer_message {
    instance_id from;
    instance_id to;
    peer_topic topic = peer_topic::membership;
    std::string body;
};

/// What traffic saw of an upstream; the direct evidence about its health.
enum class upstream_evidence : std::uint8_t {
    answered,
    answered_slowly,
    refused_connection,
    connection_lost,
    timed_out,
    said_leaving,
    said_overloaded,
};

struct upstream_observation {
    service_name service;
    upstream_id upstream;
    upstream_evidence evidence = upstream_evidence::answered;
    /// Time from the first byte sent to the first byte received.
    std::chrono::microseconds latency{0};
};

/// Whether a call to an upstream orders something or only reads its state.
enum class order_method : std::uint8_t {
    /// POST with the body.
    give,
    /// GET without a body.
    read_state,
};

/// An order to an upstream: absolute ("be at this state"), never relative.
///
/// The runtime compares `not_after` with the clock right before it hands the
/// bytes to the socket and drops an order that is past it, because the lease
/// that allows the order ends then.
struct upstream_order {
    std::uint64_t ticket = 0;
    order_method method = order_method::give;
    service_name service;
    upstream_id upstream;
    endpoint address;
    fencing_number fencing = 0;
    /// The path and the JSON body of the order.
    std::string path;
    std::string body;
    /// The last moment at which bytes may be handed to the socket.
    steady_time not_after{};
    /// How long the runtime waits for the answer after that.
    std::chrono::milliseconds timeout{0};
};

/// What became of an order; `answer` is the JSON that the upstream sent.
/// Failures: `lease_not_held` if the runtime dropped it past `not_after`,
/// `not_run_no_upstream` if no connection came about, `fencing_refused` with
/// the body of a 409, `failed_by_upstream` with the body of any other refusal,
/// `order_unknown` if bytes were sent and no whole answer came.
struct order_reply {
    std::uint64_t ticket = 0;
    outcome<std::string> answer;
};

struct log_command {
    log_event event;
    std::string detail;
};

/// Something that a control server wants done. The runtime carries it out.
using control_command =
    std::variant<peer_message, platform_call, upstream_order, log_command>;

using command_list = std::vector<control_command>;

/// One subsystem on the control thread: event and time in, commands out.
///
/// Threading: every method is called on the control thread only; none may
/// block, start a thread or read a clock. Implementations are deterministic
/// but for the random source they are given.
class control_server {
public:
    virtual ~control_server() = default;

    /// The topic whose messages the server gets.
    [[nodiscard]] virtual peer_topic topic() const = 0;

    /// Called several times a second.
    virtual void on_tick(steady_time now, command_list& out) = 0;

    /// A message from another instance; its body is not trusted.
    virtual void on_peer_message(const peer_message& message, steady_time now,
                                 command_list& out) {
        static_cast<void>(message);
        static_cast<void>(now);
        static_cast<void>(out);
    }

    /// The answer to a platform call that this server made.
    virtual void on_platform_reply(const platform_reply& reply, steady_time now,
                                   command_list& out) {
        static_cast<void>(reply);
        static_cast<void>(now);
        static_cast<void>(out);
    }

    /// The answer to an order that this server sent.
    virtual void on_order_reply(const order_reply& reply, steady_time now,
                                command_list& out) {
        static_cast<void>(reply);
        static_cast<void>(now);
        static_cast<void>(out);
    }

    /// What traffic saw of an upstream.
    virtual void on_observation(const upstream_observation& observation,
                                steady_time now, command_list& out) {
        static_cast<void>(observation);
        static_cast<void>(now);
        static_cast<void>(out);
    }

    /// A new set of services is in force on this instance.
    virtual void
    on_configuration(std::shared_ptr<const configuration_view> view,
                     steady_time now, command_list& out) {
        static_cast<void>(view);
        static_cast<void>(now);
        static_cast<void>(out);
    }
};

} // namespace savorydock
