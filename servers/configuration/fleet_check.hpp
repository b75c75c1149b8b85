#pragma once

#include "servers/fleet/fleet_configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

enum class finding_severity : std::uint8_t {
    /// The entry has no effect, or another one than it seems.
    warning,
    /// Requests fail, or the entry contradicts itself.
    error,
};

enum class fleet_part : std::uint8_t {
    version,
    routes,
    services,
    organisations,
    bounds,
};

/// A member of an entry of the configuration.
enum class fleet_member : std::uint8_t {
    /// The entry itself.
    whole,
    name,
    host,
    prefix,
    timeout,
    max_attempts,
    priority,
    service_shares,
    batch_target,
    is_public,
    keys,
    engine_slots,
    engine_tokens_per_event,
    min_upstreams,
    spot_price,
    zone_prices,
    max_header_bytes,
    max_body_bytes,
    header_timeout,
    idle_timeout,
};

/// Where in a configuration a finding is.
struct fleet_path {
    fleet_part part = fleet_part::version;
    /// Index of the entry in its list.
    std::size_t entry = 0;
    fleet_member member = fleet_member::whole;
    /// Index in the member, if that is a list.
    std::optional<std::size_t> position;
};

struct fleet_finding {
    finding_severity severity = finding_severity::warning;
    fleet_path path;
    /// Never contains a key.
    std::string text;
};

/// Returns what is wrong with a configuration, in its order: entries that can
/// never match, limits that contradict each other, and keys and organisations
/// without effect. Thread safe.
[[nodiscard]] std::vector<fleet_finding>
check_fleet(const fleet_configuration& configuration);

} // namespace savorydock
