#pragma once

#include "servers/configuration/configuration_view.hpp"
#include "servers/routing/routing_snapshot.hpp"

#include <memory>
#include <unordered_map>

namespace savorydock {

/// Makes snapshots out of what control knows, and keeps the counters alive
/// between them. Not thread safe; used on the control thread.
class routing_snapshot_builder {
public:
    explicit routing_snapshot_builder(availability_zone home)
        : home_(std::move(home)) {}

    /// Preconditions: neither argument is null. Layouts are built anew only
    /// for documents that changed.
    [[nodiscard]] std::shared_ptr<const routing_snapshot>
    build(const configuration_view& view, const upstream_state_map& states);

private:
    struct report {
        steady_time reported_at{};
        std::uint32_t load_by_others = 0;
    };
    struct kept_service {
        std::shared_ptr<const service_layout> layout;
        std::vector<report> reports;
    };

    void refresh_layout(kept_service& kept, const service_in_force& service);
    void fill_upstreams(routed_service& routed, kept_service& kept,
                        const upstream_state_map& states) const;

    availability_zone home_;
    std::unordered_map<service_name, kept_service> services_;
};

} // namespace savorydock
