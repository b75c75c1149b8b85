#pragma once

#include "servers/configuration/configuration_view.hpp"
#include "servers/routing/routing_snapshot.hpp"

#include <memory>
#include <unordered_map>

namespace savorydock {

/// Builds routing snapshots from the configuration and the upstream states, and
/// carries the counters over from one snapshot to the next. Not thread safe;
/// used on the control thread.
class routing_snapshot_builder {
public:
    explicit routing_snapshot_builder(availability_zone home)
        : home_(std::move(home)) {}

    /// Builds the next snapshot. The layout of a service is rebuilt only if its
    /// document has changed or a removed upstream has become idle.
    [[nodiscard]] std::shared_ptr<const routing_snapshot>
    build(const configuration_view& view, const upstream_state_map& states);

private:
    /// The last load report of an upstream, without this instance's own load.
    struct report {
        steady_time reported_at{};
        std::uint32_t load_by_others = 0;
    };
    /// What is reused in the next snapshot of a service.
    struct cached_service {
        std::shared_ptr<const service_layout> layout;
        std::vector<report> reports;
    };

    void refresh_layout(cached_service& cached,
                        const service_in_force& service);
    void fill_upstreams(routed_service& routed, cached_service& cached,
                        const upstream_state_map& states) const;

    availability_zone home_;
    std::unordered_map<service_name, cached_service> services_;
};

} // namespace savorydock
