#include "servers/routing/routing_policy.hpp"

#include "servers/routing/adaptive_policy.hpp"
#include "servers/routing/least_in_flight_policy.hpp"
#include "servers/routing/round_robin_policy.hpp"

#include <algorithm>

namespace savorydock {

std::unique_ptr<routing_policy> make_routing_policy(routing_policy_kind kind,
                                                    std::uint64_t seed) {
    switch (kind) {
    case routing_policy_kind::round_robin:
        return std::make_unique<round_robin_policy>();
    case routing_policy_kind::least_in_flight:
        return std::make_unique<least_in_flight_policy>();
    case routing_policy_kind::adaptive:
        break;
    }
    return std::make_unique<adaptive_policy>(adaptive_options{}, seed);
}

bool may_serve(const routed_service& service, std::uint32_t position,
               const route_query& query) {
    const service_layout& layout = *service.layout;
    if (layout.document->cross_zone == cross_zone_use::never &&
        !service.upstreams[position].is_home_zone) {
        return false;
    }
    if (service.upstreams[position].version < query.minimum_version ||
        layout.counters[position]->has_reported_leaving()) {
        return false;
    }
    const upstream_id& name = layout.document->upstreams[position].name;
    return std::find(query.excluded.begin(), query.excluded.end(), name) ==
           query.excluded.end();
}

route_choice make_choice(const routed_service& service, std::uint32_t position,
                         std::uint32_t candidates, steady_time now) {
    const routed_upstream& upstream = service.upstreams[position];
    const auto age =
        upstream.reported_at == steady_time{}
            ? std::chrono::milliseconds(0)
            : std::chrono::duration_cast<std::chrono::milliseconds>(
                  now - upstream.reported_at);
    return {
        .upstream = {service.layout->document,
                     &service.layout->document->upstreams[position]},
        .candidates = candidates,
        .report_age = age,
        .is_cross_zone = !upstream.is_home_zone,
    };
}

failure no_upstream_reason() {
    return {result_code::not_run_no_upstream, "no upstream may serve it"};
}

} // namespace savorydock
