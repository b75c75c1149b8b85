#pragma once

#include "core/endpoint.hpp"
#include "servers/control_server.hpp"

#include <cstddef>
#include <functional>

namespace savorydock {

/// Carries messages between instances, without guarantees: a message may be
/// lost, duplicated or delayed. Senders that need delivery must retry.
class peer_transport {
public:
    using message_handler = std::function<void(const peer_message&)>;

    virtual ~peer_transport() = default;

    /// Sends a message without waiting for delivery. If it can't be queued, it
    /// is dropped and counted. Thread safe; never blocks.
    virtual void send(const peer_message& message, const endpoint& to) = 0;

    /// Bytes of messages to a peer that it has not answered; 0 if unknown. Call
    /// it on the transport's thread.
    [[nodiscard]] virtual std::size_t queued_bytes(const endpoint& to) const {
        static_cast<void>(to);
        return 0;
    }

    /// Sets the handler of received messages. Precondition: called once, before
    /// the transport starts. The handler runs on the transport's thread and
    /// must not block.
    virtual void on_message(message_handler handler) = 0;
};

} // namespace savorydock
