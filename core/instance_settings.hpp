#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/outcome.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// Another instance that this one may query when it starts.
struct peer_rule {
    instance_id name;
    availability_zone zone;
    endpoint address;
};

/// Limits that keep one caller from using up the resources of the others.
struct caller_limits {
    std::uint32_t max_connections = 10'000;
    std::uint32_t max_header_bytes = 16'384;
    std::uint32_t max_body_bytes = 8'388'608;
    /// How long one read from or write to a caller may take.
    std::chrono::milliseconds io_timeout{15'000};
    /// How long the head of a request may take from its first byte, and one
    /// step of progress of a large body or answer.
    std::chrono::milliseconds header_timeout{15'000};
};

/// Time limits for orders to upstreams. All instances must have the same
/// values.
struct order_limits {
    /// How long the platform keeps the lease of an instance that has stopped
    /// renewing it.
    std::chrono::seconds lease_time{15};
    /// The maximum duration of an order to an upstream.
    std::chrono::milliseconds longest_order{30'000};
};

/// The settings of one entry instance.
struct instance_settings {
    instance_id instance;
    availability_zone zone;
    endpoint caller_listen;
    endpoint operator_listen;
    endpoint peer_listen;
    /// The secret that authenticates operators.
    std::string operator_key;
    /// The secret that authenticates instances to each other.
    std::string peer_key;
    /// The addresses of the platform's store, tried in this order.
    std::vector<endpoint> platform;
    std::vector<peer_rule> peers;
    std::uint32_t traffic_threads = 2;
    /// The memory of the machine; 0 for what the system reports.
    std::uint32_t memory_mb = 0;
    std::chrono::milliseconds drain_timeout{60'000};
    std::string log_file = "-";
    std::string log_level = "info";
    std::string chart_folder;
    caller_limits limits;
    order_limits orders;
};

/// Parses and validates the settings of an instance (JSON with comments).
/// Errors: `invalid_settings`, with all faults. Thread safe.
[[nodiscard]] outcome<instance_settings>
parse_instance_settings(std::string_view text);

/// Reads and validates a settings file. Errors: `not_found`,
/// `invalid_settings`.
[[nodiscard]] outcome<instance_settings>
load_instance_settings(const std::string& file);

} // namespace savorydock
