#include "servers/routing/upstream_weights.hpp"

#include <algorithm>
#include <vector>

namespace savorydock {

namespace {

/// An upstream keeps its full share while its latency is at most this multiple
/// of the median.
constexpr double max_tolerated_latency_ratio = 2;

/// From this multiple of the median latency on, it gets `min_upstream_weight`.
constexpr double outlier_latency_ratio = 3;

/// From this fraction of failed requests on, it gets `min_upstream_weight`.
constexpr double outlier_failure_rate = 0.4;

/// With latencies of fewer upstreams than this, the median is not meaningful.
constexpr std::size_t min_median_samples = 3;

double weight_of(double latency_ratio, double failure_rate) {
    if (latency_ratio >= outlier_latency_ratio ||
        failure_rate >= outlier_failure_rate) {
        return min_upstream_weight;
    }
    if (latency_ratio <= max_tolerated_latency_ratio) {
        return 1;
    }
    return 1 / latency_ratio;
}

} // namespace

void update_upstream_weights(routed_service& service) {
    const auto& counters = service.layout->counters;
    std::vector<double> latencies;
    latencies.reserve(counters.size());
    for (const auto& entry : counters) {
        if (entry->latency().count() > 0) {
            latencies.push_back(static_cast<double>(entry->latency().count()));
        }
    }
    double median = 0;
    if (latencies.size() >= min_median_samples) {
        const auto middle = latencies.begin() +
                            static_cast<std::ptrdiff_t>(latencies.size() / 2);
        std::nth_element(latencies.begin(), middle, latencies.end());
        median = *middle;
    }
    for (std::size_t at = 0; at < counters.size(); ++at) {
        const auto latency =
            static_cast<double>(counters[at]->latency().count());
        const double latency_ratio = median > 0 ? latency / median : 1;
        service.upstreams[at].weight =
            weight_of(latency_ratio, counters[at]->failure_rate());
    }
}

} // namespace savorydock
