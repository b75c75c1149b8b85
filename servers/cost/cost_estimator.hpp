#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace savorydock {

/// What a request says about its work before it runs.
struct request_features {
    std::string route;
    organisation_id organisation;
    std::size_t body_bytes = 0;
    std::optional<std::uint64_t> prompt_tokens;
    std::optional<std::uint64_t> max_output_tokens;
    /// The caller's expectation of the answer's length: a number or a word.
    std::string length_hint;
};

/// The likely work of one call, as its time on an upstream of usual speed, and
/// the classes that learn from its result.
struct call_cost {
    std::chrono::microseconds expected{0};
    std::uint64_t narrow_class = 0;
    std::uint64_t route_class = 0;
    std::uint64_t service_class = 0;
    /// Far more work than the usual call of the service.
    bool is_large = false;
};

struct cost_estimator_options {
    /// Estimate until the service has samples.
    std::chrono::microseconds default_cost{50'000};
    /// Samples that a class needs before its estimate is used.
    std::size_t min_samples = 3;
    /// Estimates follow the last one to two generations of this many samples.
    std::size_t samples_per_generation = 32;
    std::size_t max_classes = 256;
    /// A call is large if it costs this many times the service's median.
    double large_ratio = 3;
};

/// Learns what calls cost from the times of finished calls. Load pattern:
/// requests of one service that differ in cost by a factor of eight or more,
/// with long tails, and costs that change with the callers' content.
///
/// A request belongs to a narrow class (service, route, organisation, sizes by
/// factors of 1.4), to its route's class and to its service's class; the
/// narrowest one with enough samples gives the estimate. It is the mean of the
/// samples, at least a tenth of and at most ten times their median.
///
/// Not thread safe; deterministic.
class cost_estimator {
public:
    explicit cost_estimator(cost_estimator_options options);

    [[nodiscard]] call_cost estimate(const service_name& service,
                                     const request_features& features) const;

    /// Adds the time of an answered call.
    void learn(const call_cost& cost, std::chrono::microseconds time);

    [[nodiscard]] std::size_t classes() const { return classes_.size(); }

private:
    using quantile = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::mean,
            boost::accumulators::tag::p_square_quantile>>;

    /// The mean and median of one or two generations of samples.
    struct cost_class {
        quantile current{boost::accumulators::quantile_probability = 0.5};
        quantile previous{boost::accumulators::quantile_probability = 0.5};
        /// For the choice of the class that is discarded.
        std::uint64_t last_use = 0;

        [[nodiscard]] std::size_t count() const;
        [[nodiscard]] double median() const;
        [[nodiscard]] double mean() const;
    };

    [[nodiscard]] const cost_class* find(std::uint64_t key) const;
    void add(std::uint64_t key, double sample);

    cost_estimator_options options_;
    std::unordered_map<std::uint64_t, cost_class> classes_;
    std::uint64_t uses_ = 0;
};

} // namespace savorydock
