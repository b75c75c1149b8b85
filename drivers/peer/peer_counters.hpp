#pragma once

#include "servers/control_server.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace savorydock {

/// Message counts of one topic. Bytes are the sizes of encoded envelopes.
struct peer_topic_counters {
    std::uint64_t messages_in = 0;
    std::uint64_t messages_out = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

/// Counters of a peer link since it started.
struct peer_counters {
    static constexpr std::size_t topic_count =
        static_cast<std::size_t>(last_peer_topic) + 1;

    /// Indexed by the number of the topic.
    std::array<peer_topic_counters, topic_count> topics;
    /// Not sent: the queue was full, or the peer was in backoff.
    std::uint64_t dropped = 0;
    /// Queued, but the connection ended or the peer refused the message.
    std::uint64_t lost = 0;
    /// Received and refused.
    std::uint64_t refused = 0;
    /// Dropped by the fault switch.
    std::uint64_t cut = 0;
    std::uint64_t connects = 0;
    std::uint64_t connect_failures = 0;
    /// Open connections, to peers and from peers.
    std::uint64_t open_out = 0;
    std::uint64_t open_in = 0;
    /// Bytes of messages that peers haven't answered: of all peers, and of the
    /// peer with most.
    std::uint64_t queued_bytes = 0;
    std::uint64_t largest_queue_bytes = 0;
    /// Longest time that a peer with unanswered messages has sent nothing.
    std::chrono::milliseconds longest_wait{0};

    [[nodiscard]] const peer_topic_counters& of(peer_topic topic) const {
        return topics.at(static_cast<std::size_t>(topic));
    }
};

} // namespace savorydock
