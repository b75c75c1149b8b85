#include "servers/delivery/retry_policy.hpp"

#include <algorithm>

namespace savorydock {

retry_budget::retry_budget(double fraction, double burst)
    : fraction_(fraction)
    , burst_(burst)
    , remaining_(burst) {}

void retry_budget::earn() {
    const std::scoped_lock guard(lock_);
    remaining_ = std::min(burst_, remaining_ + fraction_);
}

bool retry_budget::try_spend() {
    const std::scoped_lock guard(lock_);
    if (remaining_ < 1) {
        return false;
    }
    remaining_ -= 1;
    return true;
}

retry_decision request_retries::decide(const run_classification& classification,
                                       retry_budget& budget, steady_time now) {
    ++attempts_;
    if (classification.execution != execution_state::not_begun) {
        may_have_begun_ = true;
    }
    const bool is_allowed =
        classification.is_retry_useful && is_retry_safe(classification) &&
        attempts_ < options_.max_attempts &&
        now + options_.min_remaining_time < options_.deadline;
    // Check the budget last, so that only actual retries consume it.
    if (is_allowed && budget.try_spend()) {
        return {.is_retry = true};
    }
    return {.code = final_code(classification.code)};
}

result_code request_retries::final_code(result_code reason) const {
    if (!may_have_begun_ || classify(reason) != result_class::not_run) {
        return reason;
    }
    return reason == result_code::not_run_deadline
               ? result_code::unknown_deadline
               : result_code::unknown_upstream_lost;
}

bool request_retries::is_retry_safe(
    const run_classification& classification) const {
    if (has_delivered_part_) {
        return false;
    }
    return options_.is_idempotent ||
           classification.execution == execution_state::not_begun;
}

} // namespace savorydock
