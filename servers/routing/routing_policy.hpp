#pragma once

#include "servers/routing/routing_snapshot.hpp"
#include "servers/routing/upstream_router.hpp"

#include <cstdint>
#include <memory>

namespace savorydock {

/// Chooses an upstream of a service for a request. Every method is thread safe.
class routing_policy {
public:
    virtual ~routing_policy() = default;

    /// Returns the chosen upstream and the data that the choice is based on.
    /// Errors: `not_run_no_upstream`, `not_run_overloaded`.
    [[nodiscard]] virtual outcome<route_choice>
    choose(const routed_service& service, const route_query& query,
           steady_time now) = 0;
};

/// Creates the policy of the given kind. `seed` seeds its random choices.
[[nodiscard]] std::unique_ptr<routing_policy>
make_routing_policy(routing_policy_kind kind, std::uint64_t seed);

/// Whether the upstream may serve the request: its zone is allowed, its weights
/// are not older than the query's minimum, the request has not tried it yet,
/// and it has not reported that it is leaving. Doesn't check the condition in
/// `routed_upstream`.
[[nodiscard]] bool may_serve(const routed_service& service,
                             std::uint32_t position, const route_query& query);

/// Builds the `route_choice` for the upstream at `position`. Allocates nothing.
[[nodiscard]] route_choice make_choice(const routed_service& service,
                                       std::uint32_t position,
                                       std::uint32_t candidates,
                                       steady_time now);

/// The failure that is returned when no upstream may serve the request.
[[nodiscard]] failure no_upstream_reason();

} // namespace savorydock
