#include "servers/routing/least_in_flight_policy.hpp"

#include <limits>

namespace savorydock {

outcome<route_choice>
least_in_flight_policy::choose(const routed_service& service,
                               const route_query& query, steady_time now) {
    const auto count = static_cast<std::uint32_t>(service.upstreams.size());
    for (const auto wanted :
         {upstream_condition::serving, upstream_condition::suspected}) {
        std::uint32_t best = count;
        std::uint32_t lowest = std::numeric_limits<std::uint32_t>::max();
        const std::uint32_t start =
            start_.fetch_add(1, std::memory_order_relaxed);
        for (std::uint32_t step = 0; step < count; ++step) {
            const std::uint32_t at = (start + step) % count;
            const std::uint32_t requests =
                service.layout->counters[at]->in_flight();
            if (requests < lowest &&
                service.upstreams[at].condition == wanted &&
                may_serve(service, at, query)) {
                lowest = requests;
                best = at;
            }
        }
        if (best != count) {
            return make_choice(service, best, count, now);
        }
    }
    return no_upstream_reason();
}

} // namespace savorydock
