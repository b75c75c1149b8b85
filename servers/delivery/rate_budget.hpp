#pragma once

#include "core/clock.hpp"

#include <algorithm>
#include <chrono>

namespace savorydock {

/// Token bucket: limits actions to a rate per second. A burst may use one
/// second's worth of actions, but at least one. Not thread safe.
class rate_budget {
public:
    explicit rate_budget(double per_second)
        : per_second_(per_second)
        , burst_(std::max(1.0, per_second))
        , remaining_(burst_) {}

    /// Changes the rate; keeps unused actions up to the new burst size.
    void set_rate(double per_second) {
        per_second_ = per_second;
        burst_ = std::max(1.0, per_second);
        remaining_ = std::min(remaining_, burst_);
    }

    /// Consumes one action. Returns false if the budget is exhausted.
    [[nodiscard]] bool try_spend(steady_time now) {
        const std::chrono::duration<double> elapsed = now - last_refill_;
        last_refill_ = now;
        remaining_ =
            std::min(burst_, remaining_ + elapsed.count() * per_second_);
        if (remaining_ < 1) {
            return false;
        }
        remaining_ -= 1;
        return true;
    }

private:
    double per_second_;
    double burst_;
    double remaining_;
    steady_time last_refill_{};
};

} // namespace savorydock
