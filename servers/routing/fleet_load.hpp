#pragma once

#include <cstdint>

namespace savorydock {

/// The load of a service as far as an instance can know it.
struct fleet_load {
    /// Requests that the serving upstreams take at once.
    std::uint32_t slots = 0;
    /// Requests on them, by own counts and the lagging reports of the others.
    std::uint32_t load = 0;
    std::uint32_t own_in_flight = 0;
};

} // namespace savorydock
