#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>

namespace savorydock {

/// What control holds an upstream to be.
enum class upstream_condition : std::uint8_t {
    serving,
    /// Fails or does not answer; gets work only when nobody else can.
    suspected,
    /// Says or is said to leave; gets no new work.
    leaving,
    /// Changes its weights; gets no new work for the while.
    swapping,
};

/// What control knows of one upstream, with the age of what is reported.
struct upstream_state {
    upstream_condition condition = upstream_condition::serving;
    /// The weights it last reported; 0 if it reported none.
    weight_version version = 0;
    /// Requests running and waiting on it, by its own lagging word.
    std::uint32_t reported_load = 0;
    steady_time reported_at{};
};

/// Upstreams are named within their service.
struct upstream_key {
    service_name service;
    upstream_id upstream;

    auto operator<=>(const upstream_key&) const = default;
};

using upstream_state_map = std::map<upstream_key, upstream_state>;

} // namespace savorydock
