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

/// Another instance that this one may ask at start.
struct peer_rule {
    instance_id name;
    availability_zone zone;
    endpoint address;
};

/// Limits that keep one caller from harming others.
struct caller_limits {
    std::uint32_t max_connections = 10'000;
    std::uint32_t max_header_bytes = 16'384;
    std::uint32_t max_body_bytes = 8'388'608;
    /// How long a caller may take over one read or write.
    std::chrono::milliseconds io_timeout{15'000};
};

/// Times of the orders to upstreams; the same on all instances.
struct order_limits {
    /// How long the platform keeps a holder of orders that has gone.
    std::chrono::seconds lease_time{15};
    /// The longest that an order to an upstream may take.
    std::chrono::milliseconds longest_order{30'000};
};

/// The settings of one entry instance.
struct instance_settings {
    instance_id instance;
    availability_zone zone;
    endpoint caller_listen;
    endpoint operator_listen;
    endpoint peer_listen;
    /// The secret that operators present.
    std::string operator_key;
    /// The secret that instances present to each other.
    std::string peer_key;
    /// Addresses of the platform's store, tried in turn.
    std::vector<endpoint> platform;
    std::vector<peer_rule> peers;
    std::uint32_t traffic_threads = 2;
    std::chrono::milliseconds drain_timeout{60'000};
    std::string log_file = "-";
    std::string log_level = "info";
    std::string chart_folder;
    caller_limits limits;
    order_limits orders;
};

/// Reads and checks an instance's settings (JSON with comments).
/// Errors: `invalid_settings` with all faults. Thread safe.
[[nodiscard]] outcome<instance_settings>
parse_instance_settings(std::string_view text);

/// Reads a settings file. Errors: `not_found`, `invalid_settings`.
[[nodiscard]] outcome<instance_settings>
load_instance_settings(const std::string& file);

} // namespace savorydock
