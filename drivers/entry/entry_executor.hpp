#pragma once

#include "drivers/caf_runtime/control_executor.hpp"
#include "drivers/http/http_client.hpp"
#include "drivers/peer/peer_transport.hpp"
#include "servers/platform/platform_store.hpp"

#include <map>
#include <memory>
#include <mutex>

namespace savorydock {

/// Executes control commands through the peer link, the platform store and
/// HTTP. `context` must be run by a single thread. The context, the transport
/// and the store must outlive the executor.
class entry_executor final : public control_executor {
public:
    entry_executor(boost::asio::io_context& context, peer_transport& peers,
                   platform_store& platform);

    /// Sets the peer addresses of the instances. Messages to an instance that
    /// is not in the map are dropped. Thread safe.
    void set_addresses(std::map<instance_id, endpoint> addresses);

    void send_to_peer(const peer_message& message) override;
    void call_platform(platform_call call,
                       std::function<void(platform_reply)> answer) override;
    void execute_order(upstream_order order,
                       std::function<void(order_reply)> answer) override;

private:
    boost::asio::awaitable<void>
    send_order(upstream_order order, std::function<void(order_reply)> answer);

    boost::asio::io_context& context_;
    peer_transport& peers_;
    platform_store& platform_;
    http_client client_;
    std::mutex mutex_;
    std::map<instance_id, endpoint> addresses_;
};

} // namespace savorydock
