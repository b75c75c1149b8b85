#include "servers/step_schedule/length_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace savorydock {

namespace {

/// Weight of a new sample once many have been added.
constexpr double min_smoothing = 1.0 / 16;

/// `high` is the mean plus this many mean absolute deviations.
constexpr double high_deviations = 2;

/// Used before the first answer.
constexpr expected_length default_length{.mean = 256, .high = 1024};

} // namespace

void length_estimator::moving_estimate::add(double value) {
    ++count;
    const double smoothing = std::max(min_smoothing, 1.0 / count);
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
        return default_length;
    }
    return {.mean = best.mean,
            .high = best.mean + high_deviations * best.deviation};
}

} // namespace savorydock
