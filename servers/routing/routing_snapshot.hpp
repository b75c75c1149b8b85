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

/// The part of a service's routing that changes with its document only.
struct service_layout {
    std::shared_ptr<const service_document> document;
    /// By position in the document's list of upstreams.
    std::vector<std::shared_ptr<upstream_counters>> counters;
    /// Also holds upstreams that have gone but have requests in flight.
    std::unordered_map<upstream_id, std::shared_ptr<upstream_counters>> by_name;
    /// By name in the document, into `counters`.
    std::unordered_map<upstream_id, std::uint32_t> positions;
    affinity_ring ring;
    /// Never null; traffic writes to it.
    std::shared_ptr<prefix_directory> directory;
};

/// What is held of one upstream at the time of a publication.
struct routed_upstream {
    upstream_condition condition = upstream_condition::serving;
    bool is_home_zone = false;
    std::uint32_t slots = 1;
    weight_version version = 0;
    /// Load that other instances had put on it at the time of its report.
    std::uint32_t load_by_others = 0;
    steady_time reported_at{};
    /// Part of a full share that it may get, by its outcomes and latency.
    double weight = 1;
};

/// One service as traffic sees it.
struct routed_service {
    std::shared_ptr<const service_layout> layout;
    /// By position in the document's list of upstreams.
    std::vector<routed_upstream> upstreams;
    /// Positions of those that serve, in the home zone and in others.
    std::vector<std::uint32_t> home;
    std::vector<std::uint32_t> away;
    std::vector<std::uint32_t> suspected;
    /// Mean load by others for each slot, of those that serve.
    double mean_load_by_others = 0;
};

/// Everything that routing needs, at one moment. Immutable but for the
/// counters it refers to, hence thread safe.
struct routing_snapshot {
    std::unordered_map<service_name, routed_service> services;

    /// The service of that name, or null.
    [[nodiscard]] const routed_service* find(const service_name& name) const {
        const auto found = services.find(name);
        return found == services.end() ? nullptr : &found->second;
    }
};

} // namespace savorydock
