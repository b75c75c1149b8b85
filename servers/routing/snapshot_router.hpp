#pragma once

#include "servers/routing/routing_policy.hpp"
#include "servers/routing/routing_snapshot_builder.hpp"

#include <array>
#include <atomic>
#include <memory>

namespace savorydock {

/// The router of an instance. The control thread publishes immutable snapshots;
/// traffic threads pick from the newest one with the policy that the service's
/// document selects. `pick`, `begin` and `finish` allocate nothing.
class snapshot_router final : public upstream_router {
public:
    /// `home` is the instance's zone. `seed` seeds the random choices; it
    /// should differ between instances so that they don't all pick the same
    /// upstreams.
    snapshot_router(availability_zone home, std::uint64_t seed);

    [[nodiscard]] outcome<route_choice> pick(const route_query& query,
                                             steady_time now) override;
    void begin(const service_name& service,
               const upstream_id& upstream) override;
    void finish(const service_name& service, const upstream_id& upstream,
                upstream_evidence evidence,
                std::chrono::microseconds latency) override;
    void learn_prefix(const service_name& service, const upstream_id& upstream,
                      std::uint64_t prefix_hash, steady_time now) override;
    [[nodiscard]] fleet_load load(const service_name& service) const override;
    void publish(std::shared_ptr<const configuration_view> view,
                 std::shared_ptr<const upstream_state_map> states) override;

    /// Replaces the policy of a kind, for example by one with other options.
    /// Precondition: traffic has not started yet.
    void replace_policy(routing_policy_kind kind,
                        std::unique_ptr<routing_policy> policy);

private:
    static constexpr std::size_t policy_kind_count = 3;

    [[nodiscard]] std::shared_ptr<upstream_counters>
    counters_of(const service_name& service, const upstream_id& upstream) const;

    routing_snapshot_builder builder_;
    std::array<std::unique_ptr<routing_policy>, policy_kind_count> policies_;
    std::atomic<std::shared_ptr<const routing_snapshot>> snapshot_;
};

} // namespace savorydock
