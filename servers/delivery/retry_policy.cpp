#include "servers/delivery/retry_policy.hpp"

#include <algorithm>

namespace savorydock {

retry_budget::retry_budget(double fraction, double burst)
    : fraction_(fraction)
    , burst_(burst)
    , left_(burst) {}

void retry_budget::earn() {
    const std::scoped_lock guard(lock_);
    left_ = std::min(burst_, left_ + fraction_);
}

bool retry_budget::try_spend() {
    const std::scoped_lock guard(lock_);
    if (left_ < 1) {
        return false;
    }
    left_ -= 1;
    return true;
}

retry_decision request_retries::decide(const upstream_ruling& ruling,
                                       retry_budget& budget, steady_time now) {
    ++attempts_;
    if (ruling.fate != upstream_fate::not_begun) {
        may_have_begun_ = true;
    }
    const bool is_allowed = ruling.is_repeat_useful && is_repeat_safe(ruling) &&
                            attempts_ < options_.max_attempts &&
                            now + options_.least_time < options_.deadline;
    // The budget is asked last, so that nothing is spent in vain.
    if (is_allowed && budget.try_spend()) {
        return {.is_retry = true};
    }
    return {.code = give_up(ruling.code)};
}

result_code request_retries::give_up(result_code reason) const {
    if (!may_have_begun_ || classify(reason) != result_class::not_run) {
        return reason;
    }
    return reason == result_code::not_run_deadline
               ? result_code::unknown_deadline
               : result_code::unknown_upstream_lost;
}

bool request_retries::is_repeat_safe(const upstream_ruling& ruling) const {
    if (has_passed_on_) {
        return false;
    }
    return options_.is_idempotent || ruling.fate == upstream_fate::not_begun;
}

} // namespace savorydock
