#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace savorydock {

/// Times and limits of the order server.
struct order_options {
    /// Time to live of the one lease for all scopes of an instance.
    std::chrono::seconds lease_time{15};
    /// Subtracted from the lease time, because clocks run at different rates.
    std::chrono::milliseconds lease_margin{2'000};
    /// How often the keys of the scope holders are read.
    std::chrono::milliseconds key_poll_period{5'000};
    /// When an unanswered platform call counts as failed.
    std::chrono::milliseconds call_timeout{10'000};
    /// Delay before the next lease call after a failed one.
    std::chrono::milliseconds retry_delay{1'000};
    /// The maximum time from writing an order to the socket until it has taken
    /// effect, is answered, or is visible as loading in the upstream's state.
    std::chrono::milliseconds longest_order{30'000};
    /// How long a call may wait in this process before it is written to the
    /// socket.
    std::chrono::milliseconds max_send_wait{2'000};
    std::chrono::milliseconds read_timeout{5'000};
    std::chrono::milliseconds read_retry_delay{2'000};
    /// How often the state of an upstream without a pending order is read.
    std::chrono::milliseconds refresh_period{30'000};
    /// Services with more upstreams than this are sharded by zone.
    std::size_t max_unsharded_upstreams = 64;
    /// The number of shards per group over which services are distributed;
    /// each shard has its own candidates for the holder.
    std::uint32_t shards = 4;
};

/// Returns options for the lease time and the maximum order time from the
/// settings.
[[nodiscard]] inline order_options
make_order_options(std::chrono::seconds lease_time,
                   std::chrono::milliseconds longest_order) {
    order_options options;
    options.lease_time = lease_time;
    options.lease_margin = std::chrono::milliseconds(lease_time) / 8;
    options.key_poll_period = std::chrono::milliseconds(lease_time) / 3;
    options.longest_order = longest_order;
    return options;
}

} // namespace savorydock
