#pragma once

#include "servers/routing/routing_policy.hpp"

#include <atomic>

namespace savorydock {

/// A baseline for comparison: picks the upstream with the fewest in-flight
/// requests of this instance and doesn't prefer the home zone. Scans every
/// upstream.
class least_in_flight_policy final : public routing_policy {
public:
    [[nodiscard]] outcome<route_choice> choose(const routed_service& service,
                                               const route_query& query,
                                               steady_time now) override;

private:
    /// Where the next scan starts; it advances so that ties are spread over
    /// all upstreams.
    std::atomic<std::uint32_t> start_ = 0;
};

} // namespace savorydock
