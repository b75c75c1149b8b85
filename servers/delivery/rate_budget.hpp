#pragma once

#include "core/clock.hpp"

#include <algorithm>
#include <chrono>

namespace savorydock {

/// Allows so many actions a second, with bursts of one second's worth or one
/// action. Not thread safe.
class rate_budget {
public:
    explicit rate_budget(double per_second)
        : per_second_(per_second)
        , burst_(std::max(1.0, per_second))
        , left_(burst_) {}

    /// Changes the rate; what is left over is kept, up to the new burst.
    void set_rate(double per_second) {
        per_second_ = per_second;
        burst_ = std::max(1.0, per_second);
        left_ = std::min(left_, burst_);
    }

    /// Takes one action out of the budget; false if it is used up.
    [[nodiscard]] bool try_spend(steady_time now) {
        const std::chrono::duration<double> passed = now - filled_;
        filled_ = now;
        left_ = std::min(burst_, left_ + passed.count() * per_second_);
        if (left_ < 1) {
            return false;
        }
        left_ -= 1;
        return true;
    }

private:
    double per_second_;
    double burst_;
    double left_;
    steady_time filled_{};
};

} // namespace savorydock
