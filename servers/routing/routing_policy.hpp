#pragma once

#include "servers/routing/routing_snapshot.hpp"
#include "servers/routing/upstream_router.hpp"

#include <cstdint>
#include <memory>

namespace savorydock {

/// Chooses one upstream of one service. Every method is thread safe.
class routing_policy {
public:
    virtual ~routing_policy() = default;

    /// Returns the position of the chosen upstream with the reasons.
    /// Errors: `not_run_no_upstream`, `not_run_overloaded`.
    [[nodiscard]] virtual outcome<route_choice>
    choose(const routed_service& service, const route_query& query,
           steady_time now) = 0;
};

/// Makes the policy that a service document names. `seed` feeds its random
/// choices.
[[nodiscard]] std::unique_ptr<routing_policy>
make_routing_policy(routing_policy_kind kind, std::uint64_t seed);

/// Whether the upstream is fresh enough, not yet tried by the request, and
/// not leaving by its own word.
[[nodiscard]] bool may_serve(const routed_service& service,
                             std::uint32_t position, const route_query& query);

/// Describes the choice of the upstream at `position`. Allocates nothing.
[[nodiscard]] route_choice make_choice(const routed_service& service,
                                       std::uint32_t position,
                                       std::uint32_t candidates,
                                       steady_time now);

/// The reason when nobody may serve.
[[nodiscard]] failure no_upstream_reason();

} // namespace savorydock
