#pragma once

#include <cstdint>

namespace savorydock {

/// The load of a service, as estimated by one instance.
struct fleet_load {
    /// Requests that the serving upstreams can process at the same time.
    std::uint32_t slots = 0;
    /// Requests on the serving upstreams: those of this instance, counted
    /// exactly, and those of other instances, known from delayed reports.
    std::uint32_t load = 0;
    /// Requests of this instance, on upstreams in any condition.
    std::uint32_t own_in_flight = 0;
};

} // namespace savorydock
