#include "servers/admission/exit_admission.hpp"

#include <algorithm>

namespace savorydock {

exit_admission::exit_admission(exit_admission_options options)
    : options_(options) {}

bool exit_admission::may_send(const exiting_request& request,
                              steady_time now) const {
    if (!exit_time_) {
        return true;
    }
    const steady_time end = *exit_time_ - options_.answer_time;
    if (now >= end) {
        return false;
    }
    const auto left = end - now;
    switch (request.kind) {
    case request_kind::idempotent:
        return request.deadline <= end ||
               left >= options_.repeatable_call_times * request.usual_time;
    case request_kind::at_most_once:
        return request.deadline <= end ||
               left >=
                   std::max<std::chrono::microseconds>(
                       options_.min_unrepeatable_time,
                       options_.unrepeatable_call_times * request.usual_time);
    case request_kind::stream:
        return left >= options_.stream_time;
    case request_kind::batch:
    case request_kind::sample_batch:
        return left >= options_.submission_time;
    }
    return false;
}

steady_time exit_admission::answer_by(steady_time deadline) const {
    return exit_time_ ? std::min(deadline, *exit_time_ - options_.answer_time)
                      : deadline;
}

} // namespace savorydock
