#pragma once

#include "core/endpoint.hpp"
#include "servers/control_server.hpp"

#include <functional>

namespace savorydock {

/// Carries messages between instances. A message may be lost, doubled or
/// late; whoever needs more repeats it.
class peer_transport {
public:
    using message_handler = std::function<void(const peer_message&)>;

    virtual ~peer_transport() = default;

    /// Sends and forgets. A message that can't be queued is dropped and
    /// counted. Thread safe; never blocks.
    virtual void send(const peer_message& message, const endpoint& to) = 0;

    /// Sets who gets the messages that come in. Precondition: called once,
    /// before the transport starts. The handler runs on the transport's
    /// thread and must not block.
    virtual void on_message(message_handler handler) = 0;
};

} // namespace savorydock
