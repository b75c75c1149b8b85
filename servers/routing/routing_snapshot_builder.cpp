#include "servers/routing/routing_snapshot_builder.hpp"

#include "servers/routing/upstream_weights.hpp"

#include <algorithm>

namespace savorydock {

namespace {

/// Fills the lists of positions and the mean load of others.
void sort_into_pools(routed_service& routed) {
    double load = 0;
    double slots = 0;
    for (std::uint32_t at = 0; at < routed.upstreams.size(); ++at) {
        const routed_upstream& upstream = routed.upstreams[at];
        if (upstream.condition == upstream_condition::suspected) {
            routed.suspected.push_back(at);
        }
        if (upstream.condition != upstream_condition::serving) {
            continue;
        }
        (upstream.is_home_zone ? routed.home_zone : routed.other_zones)
            .push_back(at);
        load += upstream.load_by_others;
        slots += upstream.slots;
    }
    routed.mean_load_by_others = slots > 0 ? load / slots : 0;
}

/// Whether the layout still has counters of an upstream that was removed from
/// the document and has no more requests in flight.
bool has_idle_removed_upstreams(const service_layout& layout) {
    if (layout.counters_by_name.size() == layout.counters.size()) {
        return false;
    }
    return std::any_of(layout.counters_by_name.begin(),
                       layout.counters_by_name.end(), [&](const auto& entry) {
                           return layout.document->find_upstream(entry.first) ==
                                      nullptr &&
                                  entry.second->in_flight() == 0;
                       });
}

} // namespace

void routing_snapshot_builder::refresh_layout(cached_service& cached,
                                              const service_in_force& service) {
    const auto old = cached.layout;
    if (old && old->document == service.document &&
        !has_idle_removed_upstreams(*old)) {
        return;
    }
    auto layout = std::make_shared<service_layout>();
    layout->document = service.document;
    layout->ring = affinity_ring(service.document->upstreams);
    for (const upstream_rule& rule : service.document->upstreams) {
        std::shared_ptr<upstream_counters> counters;
        if (old && old->counters_by_name.contains(rule.name)) {
            counters = old->counters_by_name.at(rule.name);
        } else {
            counters = std::make_shared<upstream_counters>();
        }
        layout->positions.emplace(
            rule.name, static_cast<std::uint32_t>(layout->counters.size()));
        layout->counters.push_back(counters);
        layout->counters_by_name.emplace(rule.name, std::move(counters));
    }
    if (old) {
        for (const auto& [name, counters] : old->counters_by_name) {
            if (counters->in_flight() > 0) {
                layout->counters_by_name.emplace(name, counters);
            }
        }
    }
    // The directory stores positions, which are invalid once the list of
    // upstreams has changed.
    layout->directory = old && old->positions == layout->positions
                            ? old->directory
                            : std::make_shared<prefix_directory>();
    if (!old || old->document != service.document) {
        cached.reports.assign(layout->counters.size(), {});
    }
    cached.layout = std::move(layout);
}

void routing_snapshot_builder::fill_upstreams(
    routed_service& routed, cached_service& cached,
    const upstream_state_map& states) const {
    const service_layout& layout = *routed.layout;
    const auto& rules = layout.document->upstreams;
    routed.upstreams.resize(rules.size());
    upstream_key key{layout.document->service, {}};
    for (std::size_t at = 0; at < rules.size(); ++at) {
        routed_upstream& upstream = routed.upstreams[at];
        upstream.is_home_zone = rules[at].zone == home_;
        upstream.slots = std::max(1U, rules[at].slots);
        layout.counters[at]->on_publication();
        key.upstream = rules[at].name;
        const auto found = states.find(key);
        if (found == states.end()) {
            continue;
        }
        const upstream_state& state = found->second;
        report& last = cached.reports[at];
        if (state.reported_at != last.reported_at) {
            // The report includes this instance's own requests. They are
            // counted exactly elsewhere, so subtract them here.
            const std::uint32_t own = layout.counters[at]->in_flight();
            last.reported_at = state.reported_at;
            last.load_by_others =
                state.reported_load > own ? state.reported_load - own : 0;
        }
        upstream.condition = state.condition;
        upstream.version = state.version;
        upstream.load_by_others = last.load_by_others;
        upstream.reported_at = last.reported_at;
    }
}

std::shared_ptr<const routing_snapshot>
routing_snapshot_builder::build(const configuration_view& view,
                                const upstream_state_map& states) {
    auto snapshot = std::make_shared<routing_snapshot>();
    for (const auto& [name, service] : view.services()) {
        cached_service& cached = services_[name];
        refresh_layout(cached, service);
        routed_service& routed = snapshot->services[name];
        routed.layout = cached.layout;
        fill_upstreams(routed, cached, states);
        sort_into_pools(routed);
        update_upstream_weights(routed);
    }
    std::erase_if(services_, [&](const auto& entry) {
        return view.find(entry.first) == nullptr;
    });
    return snapshot;
}

} // namespace savorydock
