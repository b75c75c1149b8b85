#include "servers/routing/round_robin_policy.hpp"

namespace savorydock {

outcome<route_choice> round_robin_policy::choose(const routed_service& service,
                                                 const route_query& query,
                                                 steady_time now) {
    const auto count = static_cast<std::uint32_t>(service.upstreams.size());
    for (const auto wanted :
         {upstream_condition::serving, upstream_condition::suspected}) {
        for (std::uint32_t tried = 0; tried < count; ++tried) {
            const std::uint32_t at =
                next_.fetch_add(1, std::memory_order_relaxed) % count;
            if (service.upstreams[at].condition == wanted &&
                may_serve(service, at, query)) {
                return make_choice(service, at, count, now);
            }
        }
    }
    return no_upstream_reason();
}

} // namespace savorydock
