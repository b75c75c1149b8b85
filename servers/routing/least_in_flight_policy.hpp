#pragma once

#include "servers/routing/routing_policy.hpp"

#include <atomic>

namespace savorydock {

/// A baseline: the upstream with the fewest requests of this instance in
/// flight, wherever it is. Looks at every upstream.
class least_in_flight_policy final : public routing_policy {
public:
    [[nodiscard]] outcome<route_choice> choose(const routed_service& service,
                                               const route_query& query,
                                               steady_time now) override;

private:
    /// Where the search begins, so that ties fall to each in turn.
    std::atomic<std::uint32_t> start_ = 0;
};

} // namespace savorydock
