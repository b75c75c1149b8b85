#pragma once

#include "servers/control_server.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace savorydock {

/// Messages of one topic. Bytes are those of the encoded envelopes.
struct peer_topic_counters {
    std::uint64_t messages_in = 0;
    std::uint64_t messages_out = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

/// What a peer link has done since it started.
struct peer_counters {
    static constexpr std::size_t topic_count = 15;

    /// Indexed by the number of the topic.
    std::array<peer_topic_counters, topic_count> topics;
    /// Not sent: the queue was full, or the peer was just unreachable.
    std::uint64_t dropped = 0;
    /// Sent, but the connection ended before the peer took it.
    std::uint64_t lost = 0;
    /// Came in and was refused.
    std::uint64_t refused = 0;
    /// Dropped by the fault switch.
    std::uint64_t cut = 0;
    std::uint64_t connects = 0;
    std::uint64_t connect_failures = 0;
    /// Connections open now, towards peers and from them.
    std::uint64_t open_out = 0;
    std::uint64_t open_in = 0;

    [[nodiscard]] const peer_topic_counters& of(peer_topic topic) const {
        return topics.at(static_cast<std::size_t>(topic));
    }
};

} // namespace savorydock
