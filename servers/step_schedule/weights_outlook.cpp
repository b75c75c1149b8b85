#include "servers/step_schedule/weights_outlook.hpp"

#include <algorithm>

namespace savorydock {

namespace {

constexpr double smoothing = 0.3;

constexpr std::chrono::hours far_away{24};

} // namespace

void weights_outlook::observe(weight_version newest, steady_time now) {
    if (newest <= newest_) {
        return;
    }
    if (newest_ != 0) {
        const std::chrono::duration<double> seen = now - last_change_;
        interval_ = interval_.count() == 0
                        ? seen
                        : interval_ + (seen - interval_) * smoothing;
    }
    newest_ = newest;
    last_change_ = now;
}

steady_time weights_outlook::next_due(steady_time now) const {
    if (interval_.count() == 0) {
        return now + far_away;
    }
    return std::max(
        now, last_change_ +
                 std::chrono::duration_cast<steady_time::duration>(interval_));
}

std::uint32_t weights_outlook::changes_until(steady_time then,
                                             steady_time now) const {
    const steady_time due = next_due(now);
    if (then < due || interval_.count() == 0) {
        return 0;
    }
    const std::chrono::duration<double> beyond = then - due;
    return 1 + static_cast<std::uint32_t>(beyond / interval_);
}

} // namespace savorydock
