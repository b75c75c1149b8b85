#pragma once

#include "servers/routing/routing_snapshot.hpp"

namespace savorydock {

/// The weight of an upstream that fails or is far too slow. It still gets a few
/// requests, so that its recovery is noticed.
inline constexpr double min_upstream_weight = 1.0 / 32;

/// Sets the weight of each upstream from its failure rate and from its latency
/// relative to the median of the service. An upstream that is far slower than
/// the others gets `min_upstream_weight` whatever it reports about itself.
/// Not thread safe.
void update_upstream_weights(routed_service& service);

} // namespace savorydock
