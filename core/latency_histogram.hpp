#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <chrono>
#include <cstdint>

namespace savorydock {

/// The distribution of a duration in constant memory: counts in buckets with
/// fixed bounds, and estimated quantiles. The quantiles are from
/// Boost.Accumulators; its histogram (`density`) isn't used, because it places
/// the buckets by the first samples, so that the counts of several instances
/// can't be added up. Not thread safe.
class latency_histogram {
public:
    /// Upper bounds of the buckets, in seconds.
    static constexpr std::array bounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                       0.1,   0.25,   0.5,   1.0,  2.5,   5.0,
                                       10.0,  30.0,   60.0,  180.0};

    /// The quantiles that are estimated.
    static constexpr std::array quantiles{0.5, 0.9, 0.99};

    latency_histogram();

    void add(std::chrono::duration<double> value);

    /// The number of values at or below each bound, as in Prometheus.
    [[nodiscard]] std::array<std::uint64_t, bounds.size()>
    cumulative_counts() const;

    /// Estimates of `quantiles`, in the same order; zero without values.
    [[nodiscard]] std::array<std::chrono::duration<double>, quantiles.size()>
    quantile_values() const;
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] std::chrono::duration<double> sum() const;

private:
    using estimate = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::max,
            boost::accumulators::tag::extended_p_square>>;

    estimate estimate_;
    std::array<std::uint64_t, bounds.size()> counts_{};
};

} // namespace savorydock
