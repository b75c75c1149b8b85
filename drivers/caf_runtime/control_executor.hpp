#pragma once

#include "servers/control_server.hpp"

#include <functional>

namespace savorydock {

/// Executes the commands of control servers. Every method is called on the
/// control thread and must not block. Each callback is called exactly once, on
/// any thread.
class control_executor {
public:
    virtual ~control_executor() = default;

    /// Sends a message to another instance. Delivery is not guaranteed.
    virtual void send_to_peer(const peer_message& message) = 0;

    virtual void call_platform(platform_call call,
                               std::function<void(platform_reply)> answer) = 0;

    virtual void execute_order(upstream_order order,
                               std::function<void(order_reply)> answer) = 0;
};

} // namespace savorydock
