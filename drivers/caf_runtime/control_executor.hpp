#pragma once

#include "servers/control_server.hpp"

#include <functional>

namespace savorydock {

/// Carries out the commands of control servers. Every method is called on
/// the control thread and must not block; callbacks may come on any thread
/// and come exactly once.
class control_executor {
public:
    virtual ~control_executor() = default;

    /// Sends a message to another instance; it may be lost.
    virtual void send_to_peer(const peer_message& message) = 0;

    virtual void call_platform(platform_call call,
                               std::function<void(platform_reply)> answer) = 0;

    virtual void give_order(upstream_order order,
                            std::function<void(order_reply)> answer) = 0;
};

} // namespace savorydock
