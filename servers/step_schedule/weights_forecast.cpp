#include "servers/step_schedule/weights_forecast.hpp"

#include <algorithm>

namespace savorydock {

namespace {

/// Weight of a new sample in the smoothed interval.
constexpr double interval_smoothing = 0.3;

/// Assumed time until the next version while the interval is unknown.
constexpr std::chrono::hours unknown_due_delay{24};

} // namespace

void weights_forecast::observe(weight_version newest, steady_time now) {
    if (newest <= newest_) {
        return;
    }
    if (newest_ != 0) {
        const std::chrono::duration<double> elapsed = now - last_version_at_;
        interval_ = interval_.count() == 0 ? elapsed
                                           : interval_ + (elapsed - interval_) *
                                                             interval_smoothing;
    }
    newest_ = newest;
    last_version_at_ = now;
}

steady_time weights_forecast::next_due(steady_time now) const {
    if (interval_.count() == 0) {
        return now + unknown_due_delay;
    }
    return std::max(
        now, last_version_at_ +
                 std::chrono::duration_cast<steady_time::duration>(interval_));
}

std::uint32_t weights_forecast::versions_until(steady_time then,
                                               steady_time now) const {
    const steady_time due = next_due(now);
    if (then < due || interval_.count() == 0) {
        return 0;
    }
    const std::chrono::duration<double> after_due = then - due;
    return 1 + static_cast<std::uint32_t>(after_due / interval_);
}

} // namespace savorydock
