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
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace savorydock {

struct peer_link_options {
    instance_id instance;
    availability_zone zone;
    /// Port 0 takes any free port.
    endpoint listen;
    /// The key that all instances of a deployment share.
    std::string peer_key;
    std::size_t max_message_bytes = 2U << 20U;
    /// Messages to one peer that are not answered yet.
    std::uint32_t max_queued = 64;
    /// Connections towards peers; the one that was idle longest gives way.
    std::size_t max_connections = 64;
    /// Connections from peers; more are closed at once.
    std::size_t max_accepted = 512;
    std::chrono::milliseconds connect_timeout{2'000};
    /// How long a peer may leave messages unanswered.
    std::chrono::milliseconds answer_timeout{5'000};
    std::chrono::milliseconds idle_timeout{30'000};
    std::chrono::milliseconds min_backoff{200};
    std::chrono::milliseconds max_backoff{5'000};
    /// Seeds the jitter of the backoff.
    std::uint64_t seed = 1;
};

/// Messages between instances as HTTP/2 streams over TCP: a server on the
/// instance's own address and one connection per peer that is talked to.
/// Bad frames, a wrong key and a wrong receiver are refused, counted and
/// logged. Messages are neither encrypted nor kept.
///
/// Threading: `send`, `counters` and the fault switch are thread safe. The
/// handler runs on the thread that runs `context`; exactly one may run it.
class peer_link final : public peer_transport {
public:
    /// Preconditions: `context` and `log` outlive the link, and `context` is
    /// not run any more once what the handler touches is destroyed.
    peer_link(boost::asio::io_context& context, peer_link_options options,
              logger& log);
    ~peer_link() override;
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    void on_message(message_handler handler) override;

    /// Listens and returns the address. Precondition: called once. Errors:
    /// `peer_unreachable` if the address can't be listened on.
    [[nodiscard]] outcome<endpoint> start();

    /// Closes all connections soon. Thread safe.
    void stop();

    void send(const peer_message& message, const endpoint& to) override;

    [[nodiscard]] peer_counters counters() const;

    /// Lets tests cut this instance off from others.
    [[nodiscard]] peer_fault_switch& faults();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace savorydock
