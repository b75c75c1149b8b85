#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace savorydock {

/// Limits of the platform's store. The rates apply to all instances together.
struct store_limits {
    endpoint address;
    /// Calls per second; a lease renewal counts as a tenth of a read.
    double writes_per_second = 0;
    double reads_per_second = 0;
    /// The maximum size of one key's value.
    std::size_t max_value_bytes = 1'048'576;
    /// The minimum time to live of a lease.
    std::chrono::milliseconds min_lease_time{1'000};
};

/// The platform's interface for duties of the deployment as a whole.
struct duty_settings {
    endpoint address;
    bool must_report_usage = false;
    bool may_scale = false;
    /// Calls per second that the platform accepts from all instances together.
    double calls_per_second = 0;
    /// The platform refuses calls with a lower fencing token than the highest.
    bool is_fence_checked = true;
    /// Length of a usage window, and when its report is due after its end.
    std::chrono::milliseconds usage_window{5'000};
    std::chrono::milliseconds usage_due{10'000};
};

/// Settings of an instance and its machine, read when the instance starts.
struct node_settings {
    instance_id instance;
    availability_zone zone;
    /// The address for callers; absent on instances without caller traffic.
    std::optional<endpoint> caller_listen;
    /// The address for the platform's readiness probes.
    std::optional<endpoint> ready_listen;
    /// The IP address of the machine, and the first port for internal use.
    std::string address;
    std::uint16_t internal_port = 0;
    /// The share of one processor core that the instance may use.
    double processor_share = 1.0;
    store_limits store;
    /// The period at which upstreams renew their entries in the store.
    std::chrono::milliseconds upstream_heartbeat{1'200};
    /// The time between the termination signal and the kill signal.
    std::chrono::milliseconds shutdown_grace{8'000};
    /// The minimum time between two successive holders of a scope; also the
    /// time to live of the holders' leases.
    std::chrono::milliseconds holder_separation{3'000};
    /// The time within which a change of the configuration, or of an upstream's
    /// state, must take effect on all instances.
    std::chrono::milliseconds change_bound{2'000};
    /// The time after which a request with a removed key must not run on any
    /// instance; absent if keys follow `change_bound` like other changes.
    std::optional<std::chrono::milliseconds> revocation_bound;
    /// Memory and file descriptors of the process; 0 if not limited.
    std::size_t memory_bytes = 0;
    std::size_t max_descriptors = 0;
    /// Upstreams are chosen by the likely cost of calls and the work left.
    bool must_place_by_cost = false;
    /// Absent if the deployment has no such duties.
    std::optional<duty_settings> duties;
};

} // namespace savorydock
