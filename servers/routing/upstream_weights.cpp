#include "servers/routing/upstream_weights.hpp"

#include <algorithm>
#include <vector>

namespace savorydock {

namespace {

/// Up to this multiple of the median an upstream keeps its full share.
constexpr double tolerated_slowness = 2;

/// From this multiple on it gets a trickle.
constexpr double ejecting_slowness = 3;

/// From this part of failed requests on it gets a trickle.
constexpr double ejecting_failure_rate = 0.4;

/// With fewer kin than this a median says nothing.
constexpr std::size_t least_kin = 3;

double weight_of(double slowness, double failure_rate) {
    if (slowness >= ejecting_slowness ||
        failure_rate >= ejecting_failure_rate) {
        return trickle_weight;
    }
    if (slowness <= tolerated_slowness) {
        return 1;
    }
    return 1 / slowness;
}

} // namespace

void weigh_upstreams(routed_service& service) {
    const auto& counters = service.layout->counters;
    std::vector<double> latencies;
    latencies.reserve(counters.size());
    for (const auto& entry : counters) {
        if (entry->latency().count() > 0) {
            latencies.push_back(static_cast<double>(entry->latency().count()));
        }
    }
    double median = 0;
    if (latencies.size() >= least_kin) {
        const auto middle = latencies.begin() +
                            static_cast<std::ptrdiff_t>(latencies.size() / 2);
        std::nth_element(latencies.begin(), middle, latencies.end());
        median = *middle;
    }
    for (std::size_t at = 0; at < counters.size(); ++at) {
        const auto latency =
            static_cast<double>(counters[at]->latency().count());
        const double slowness = median > 0 ? latency / median : 1;
        service.upstreams[at].weight =
            weight_of(slowness, counters[at]->failure_rate());
    }
}

} // namespace savorydock
