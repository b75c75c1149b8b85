#include "core/latency_histogram.hpp"

#include <algorithm>

namespace savorydock {

namespace {

/// With fewer values than this the estimator's markers are not yet apart.
constexpr std::size_t least_values = 20;

} // namespace

latency_histogram::latency_histogram()
    : estimate_(boost::accumulators::extended_p_square_probabilities =
                    quantiles) {}

void latency_histogram::add(std::chrono::duration<double> value) {
    const double seconds = std::max(0.0, value.count());
    estimate_(seconds);
    const auto* const bound =
        std::lower_bound(bounds.begin(), bounds.end(), seconds);
    if (bound != bounds.end()) {
        ++counts_[static_cast<std::size_t>(bound - bounds.begin())];
    }
}

std::array<std::uint64_t, latency_histogram::bounds.size()>
latency_histogram::cumulative_counts() const {
    auto counts = counts_;
    for (std::size_t at = 1; at < counts.size(); ++at) {
        counts[at] += counts[at - 1];
    }
    return counts;
}

std::array<std::chrono::duration<double>, latency_histogram::quantiles.size()>
latency_histogram::quantile_values() const {
    std::array<std::chrono::duration<double>, quantiles.size()> values{};
    if (count() < least_values) {
        // Nothing better is known than the largest so far.
        values.fill(std::chrono::duration<double>(
            count() == 0 ? 0 : boost::accumulators::max(estimate_)));
        return values;
    }
    const auto heights = boost::accumulators::extended_p_square(estimate_);
    for (std::size_t at = 0; at < values.size(); ++at) {
        values[at] = std::chrono::duration<double>(
            heights[static_cast<std::ptrdiff_t>(at)]);
    }
    return values;
}

std::uint64_t latency_histogram::count() const {
    return boost::accumulators::count(estimate_);
}

std::chrono::duration<double> latency_histogram::sum() const {
    return std::chrono::duration<double>(boost::accumulators::sum(estimate_));
}

} // namespace savorydock
