#pragma once

#include "servers/routing/routing_snapshot.hpp"

namespace savorydock {

/// The share that an upstream keeps so that its recovery is seen.
inline constexpr double trickle_weight = 1.0 / 32;

/// Sets the weight of each serving upstream by its failures and by its
/// latency against the median of the service: one that is far slower than
/// its kin gets a trickle whatever it says of itself. Not thread safe.
void weigh_upstreams(routed_service& service);

} // namespace savorydock
