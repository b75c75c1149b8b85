#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace savorydock {

/// Times and sizes of the order holder.
struct order_options {
    /// The lease that an instance's holders share.
    std::chrono::seconds lease_time{15};
    /// Kept back from the lease for clock rates that differ.
    std::chrono::milliseconds lease_margin{2'000};
    /// How often the holders' keys are read.
    std::chrono::milliseconds survey_period{5'000};
    /// When an unanswered platform call is given up, and its retry delay.
    std::chrono::milliseconds call_timeout{10'000};
    std::chrono::milliseconds retry_delay{1'000};
    /// The longest that an order may take from the hand-over to the socket
    /// until it took effect, is answered or shows as loading.
    std::chrono::milliseconds longest_order{30'000};
    /// How long an order may wait in this process for the socket.
    std::chrono::milliseconds handover_time{2'000};
    std::chrono::milliseconds read_timeout{5'000};
    std::chrono::milliseconds read_retry_delay{2'000};
    /// How often the state of an upstream without orders is read back.
    std::chrono::milliseconds refresh_period{30'000};
    /// Services with more upstreams are sharded by zone.
    std::size_t max_fleet_scope = 64;
    /// Services are spread over this many holders a zone.
    std::uint32_t shards = 4;
};

/// Options for a lease and an order that last as long as the settings say.
[[nodiscard]] inline order_options
make_order_options(std::chrono::seconds lease_time,
                   std::chrono::milliseconds longest_order) {
    order_options options;
    options.lease_time = lease_time;
    options.lease_margin = std::chrono::milliseconds(lease_time) / 8;
    options.survey_period = std::chrono::milliseconds(lease_time) / 3;
    options.longest_order = longest_order;
    return options;
}

} // namespace savorydock
