#include "core/latency_histogram.hpp"

#include <algorithm>

namespace savorydock {

namespace {

/// The estimator's markers are too close together with fewer values.
constexpr std::size_t min_values = 20;

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
    for (std::size_t index = 1; index < counts.size(); ++index) {
        counts[index] += counts[index - 1];
    }
    return counts;
}

std::array<std::chrono::duration<double>, latency_histogram::quantiles.size()>
latency_histogram::quantile_values() const {
    std::array<std::chrono::duration<double>, quantiles.size()> values{};
    if (count() < min_values) {
        // Too few values for an estimate: reports the largest so far.
        values.fill(std::chrono::duration<double>(
            count() == 0 ? 0 : boost::accumulators::max(estimate_)));
        return values;
    }
    const auto heights = boost::accumulators::extended_p_square(estimate_);
    for (std::size_t index = 0; index < values.size(); ++index) {
        values[index] = std::chrono::duration<double>(
            heights[static_cast<std::ptrdiff_t>(index)]);
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
