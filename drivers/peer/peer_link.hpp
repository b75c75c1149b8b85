#pragma once

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/logger.hpp"
#include "core/outcome.hpp"
#include "drivers/peer/peer_counters.hpp"
#include "drivers/peer/peer_fault_switch.hpp"
#include "drivers/peer/peer_transport.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace savorydock {

struct peer_link_options {
    instance_id instance;
    availability_zone zone;
    /// Port 0 selects a free port.
    endpoint listen;
    /// The key that all instances of a deployment share.
    std::string peer_key;
    std::size_t max_message_bytes = 2U << 20U;
    /// Limit on unanswered messages to one peer.
    std::uint32_t max_queued = 64;
    /// Limit on connections to peers. At the limit, the one that has been idle
    /// longest is closed to make room.
    std::size_t max_connections = 64;
    /// Limit on connections from peers; further ones are closed at once.
    std::size_t max_accepted = 512;
    /// Limit on the bytes of unfinished messages from all peers together. At
    /// the limit, the connection that keeps the most without having delivered a
    /// message is closed.
    std::size_t max_incoming_bytes = std::numeric_limits<std::size_t>::max();
    std::chrono::milliseconds connect_timeout{2'000};
    /// How long a peer may leave messages unanswered.
    std::chrono::milliseconds answer_timeout{5'000};
    std::chrono::milliseconds idle_timeout{30'000};
    std::chrono::milliseconds min_backoff{200};
    std::chrono::milliseconds max_backoff{5'000};
    /// Seeds the jitter of the backoff.
    std::uint64_t seed = 1;
};

/// Sends messages between instances as HTTP/2 streams over TCP. Runs a server
/// on the instance's own address and opens one connection per peer that it
/// sends to. Messages with bad frames, a wrong key or a wrong receiver are
/// refused, counted and logged. Messages are neither encrypted nor stored.
///
/// Threading: `send`, `counters` and the fault switch are thread safe. The
/// handler runs on the thread that runs `context`; only one thread may run it.
class peer_link final : public peer_transport {
public:
    /// Preconditions: `context` and `log` outlive the link, and `context` is no
    /// longer run once objects used by the handler are destroyed.
    peer_link(boost::asio::io_context& context, peer_link_options options,
              logger& log);
    ~peer_link() override;
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    void on_message(message_handler handler) override;

    /// Starts to listen and returns the bound address. Precondition: called
    /// once. Errors: `peer_unreachable` if it can't listen on the address.
    [[nodiscard]] outcome<endpoint> start();

    /// Closes all connections asynchronously, on the thread of `context`.
    /// Thread safe.
    void stop();

    void send(const peer_message& message, const endpoint& to) override;

    [[nodiscard]] std::size_t queued_bytes(const endpoint& to) const override;

    [[nodiscard]] peer_counters counters() const;

    /// Lets tests simulate a partition between this instance and others.
    [[nodiscard]] peer_fault_switch& faults();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace savorydock
