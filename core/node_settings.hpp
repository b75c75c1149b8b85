#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace savorydock {

/// Rates that the platform's store grants to all instances together.
struct store_limits {
    endpoint address;
    /// Calls a second; a renewal of a lease counts as a tenth of a read.
    double writes_per_second = 0;
    double reads_per_second = 0;
    /// Largest value of one key.
    std::size_t max_value_bytes = 1'048'576;
    /// Shortest time to live of a lease.
    std::chrono::milliseconds min_lease_time{1'000};
};

/// What one instance learns of itself and its machine at start.
struct node_settings {
    instance_id instance;
    availability_zone zone;
    /// Where callers connect; absent on instances without caller traffic.
    std::optional<endpoint> caller_listen;
    /// Where the platform asks whether the instance is ready.
    std::optional<endpoint> ready_listen;
    /// The machine's own address, and the first port free for internal use.
    std::string address;
    std::uint16_t internal_port = 0;
    /// Share of one processor core that the machine grants.
    double processor_share = 1.0;
    store_limits store;
    /// Period at which upstreams renew their entries in the store.
    std::chrono::milliseconds upstream_heartbeat{1'200};
    /// Time between the signal to end and the kill.
    std::chrono::milliseconds shutdown_grace{8'000};
    /// How long two holders of one scope must lie apart.
    std::chrono::milliseconds holder_separation{3'000};
};

} // namespace savorydock
