#pragma once

#include "core/ids.hpp"
#include "core/service_document.hpp"
#include "servers/routing/affinity_ring.hpp"
#include "servers/routing/prefix_directory.hpp"
#include "servers/routing/upstream_counters.hpp"
#include "servers/routing/upstream_state.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace savorydock {

/// The part of a service's routing data that is rebuilt when its document
/// changes, and when a removed upstream has no more requests in flight.
struct service_layout {
    std::shared_ptr<const service_document> document;
    /// Indexed by position in the document's list of upstreams.
    std::vector<std::shared_ptr<upstream_counters>> counters;
    /// Also contains upstreams that were removed from the document but still
    /// have requests in flight.
    std::unordered_map<upstream_id, std::shared_ptr<upstream_counters>>
        counters_by_name;
    /// Maps the names in the document to indexes into `counters`.
    std::unordered_map<upstream_id, std::uint32_t> positions;
    affinity_ring ring;
    /// Never null. Traffic threads write to it.
    std::shared_ptr<prefix_directory> directory;
};

/// The state of one upstream at the time of a publication.
struct routed_upstream {
    upstream_condition condition = upstream_condition::serving;
    bool is_home_zone = false;
    std::uint32_t slots = 1;
    weight_version version = 0;
    /// Requests of other instances on it at the time of its last report.
    std::uint32_t load_by_others = 0;
    steady_time reported_at{};
    /// Fraction of a full share of requests that it gets, computed from its
    /// failures and its latency; see `update_upstream_weights`.
    double weight = 1;
};

/// The routing data of one service, as used by traffic threads.
struct routed_service {
    std::shared_ptr<const service_layout> layout;
    /// Indexed by position in the document's list of upstreams.
    std::vector<routed_upstream> upstreams;
    /// Positions of the serving upstreams in the home zone and in other zones,
    /// and of the suspected upstreams in any zone.
    std::vector<std::uint32_t> home_zone;
    std::vector<std::uint32_t> other_zones;
    std::vector<std::uint32_t> suspected;
    /// Mean `load_by_others` per slot of the serving upstreams.
    double mean_load_by_others = 0;
};

/// All routing data at the time of one publication. Immutable except for the
/// counters and prefix directories it refers to, which are thread safe.
struct routing_snapshot {
    std::unordered_map<service_name, routed_service> services;

    /// Returns the service of that name, or null.
    [[nodiscard]] const routed_service* find(const service_name& name) const {
        const auto found = services.find(name);
        return found == services.end() ? nullptr : &found->second;
    }
};

} // namespace savorydock
