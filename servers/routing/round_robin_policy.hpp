#pragma once

#include "servers/routing/routing_policy.hpp"

#include <atomic>

namespace savorydock {

/// A baseline for comparison: picks the upstreams in turn and doesn't prefer
/// the home zone.
class round_robin_policy final : public routing_policy {
public:
    [[nodiscard]] outcome<route_choice> choose(const routed_service& service,
                                               const route_query& query,
                                               steady_time now) override;

private:
    std::atomic<std::uint32_t> next_ = 0;
};

} // namespace savorydock
