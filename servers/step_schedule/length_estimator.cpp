#include "servers/step_schedule/length_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace savorydock {

namespace {

constexpr double least_smoothing = 1.0 / 16;

/// Deviations above the mean that "high" stands for.
constexpr double high_deviations = 2;

/// Used before anything is known.
constexpr expected_length unknown_length{.mean = 256, .high = 1024};

} // namespace

void length_estimator::moving_estimate::add(double value) {
    ++count;
    const double smoothing = std::max(least_smoothing, 1.0 / count);
    const double error = value - mean;
    mean += error * smoothing;
    if (count > 1) {
        deviation += (std::abs(error) - deviation) * smoothing;
    }
}

void length_estimator::learn(std::uint64_t prefix_hash, std::uint32_t tokens) {
    if (by_prefix_.size() >= max_prefixes &&
        !by_prefix_.contains(prefix_hash)) {
        by_prefix_.clear();
    }
    by_prefix_[prefix_hash].add(tokens);
    overall_.add(tokens);
}

expected_length length_estimator::expect(std::uint64_t prefix_hash) const {
    const auto found = by_prefix_.find(prefix_hash);
    const moving_estimate& best =
        found == by_prefix_.end() ? overall_ : found->second;
    if (best.count == 0) {
        return unknown_length;
    }
    return {.mean = best.mean,
            .high = best.mean + high_deviations * best.deviation};
}

} // namespace savorydock
