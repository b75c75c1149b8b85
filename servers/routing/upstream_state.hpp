#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>

namespace savorydock {

/// The condition of an upstream as determined on the control thread.
enum class upstream_condition : std::uint8_t {
    serving,
    /// Fails or does not answer; gets requests only if no serving upstream is
    /// eligible.
    suspected,
    /// Announced by itself or by others as leaving; gets no new requests.
    leaving,
    /// Is loading other weights; gets no new requests until it is done.
    swapping,
};

/// The state of one upstream as known to the control thread, with the time of
/// the last report.
struct upstream_state {
    upstream_condition condition = upstream_condition::serving;
    /// The weight version it last reported; 0 if it reported none.
    weight_version version = 0;
    /// Requests running and waiting on it, according to its last report.
    std::uint32_t reported_load = 0;
    steady_time reported_at{};
};

/// Identifies an upstream; its name is unique only within its service.
struct upstream_key {
    service_name service;
    upstream_id upstream;

    auto operator<=>(const upstream_key&) const = default;
};

using upstream_state_map = std::map<upstream_key, upstream_state>;

} // namespace savorydock
