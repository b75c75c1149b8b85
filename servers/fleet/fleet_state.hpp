#pragma once

#include "servers/fleet/route_table.hpp"
#include "servers/fleet/upstream_pool.hpp"

#include <memory>
#include <vector>

namespace savorydock {

/// What an instance believes of the fleet. Belongs to one traffic thread; the
/// route table itself is immutable and may be shared.
struct fleet_state {
    /// Null until the first configuration is known.
    std::shared_ptr<const route_table> routes;
    std::vector<upstream_entry> upstreams;
    upstream_pool pool;
};

} // namespace savorydock
