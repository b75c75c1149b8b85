#pragma once

#include "drivers/caf_runtime/control_executor.hpp"
#include "drivers/http/http_client.hpp"
#include "drivers/peer/peer_transport.hpp"
#include "servers/platform/platform_store.hpp"

#include <map>
#include <memory>
#include <mutex>

namespace savorydock {

/// Carries out control commands by the peer link, the platform's client and
/// HTTP. `context` is run by one thread and outlives the executor, as do the
/// transport and the store.
class entry_executor final : public control_executor {
public:
    entry_executor(boost::asio::io_context& context, peer_transport& peers,
                   platform_store& platform);

    /// Sets where instances can be reached. Thread safe.
    void set_addresses(std::map<instance_id, endpoint> addresses);

    void send_to_peer(const peer_message& message) override;
    void call_platform(platform_call call,
                       std::function<void(platform_reply)> answer) override;
    void give_order(upstream_order order,
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
