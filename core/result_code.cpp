#include "core/result_code.hpp"

#include <algorithm>
#include <array>

namespace savorydock {

namespace {

using enum result_code;

constexpr std::array entries{
    result_code_entry{ok, "ok", "the complete answer was delivered"},
    result_code_entry{not_run_overloaded, "not_run_overloaded",
                      "the queue is full, or too long to meet the deadline"},
    result_code_entry{
        not_run_no_upstream, "not_run_no_upstream",
        "no upstream of the service is available for the request"},
    result_code_entry{not_run_deadline, "not_run_deadline",
                      "the deadline passed before any byte was sent to an "
                      "upstream"},
    result_code_entry{not_run_limit, "not_run_limit",
                      "the caller exceeded its rate limit"},
    result_code_entry{not_run_bad_request, "not_run_bad_request",
                      "the request is malformed"},
    result_code_entry{
        not_run_unauthorized, "not_run_unauthorized",
        "the key is missing, wrong or not valid for this service"},
    result_code_entry{not_run_unknown_service, "not_run_unknown_service",
                      "no service of that name is configured"},
    result_code_entry{not_run_no_configuration, "not_run_no_configuration",
                      "this instance has no configuration yet"},
    result_code_entry{not_run_draining, "not_run_draining",
                      "this instance is draining and accepts no new work"},
    result_code_entry{not_run_key_required, "not_run_key_required",
                      "a non-idempotent call needs an idempotency key"},
    result_code_entry{not_run_suspect_request, "not_run_suspect_request",
                      "blocked: earlier runs coincided with upstream crashes"},
    result_code_entry{not_run_refused_by_upstream,
                      "not_run_refused_by_upstream",
                      "the upstream refused the request without starting it"},
    result_code_entry{not_run_platform_unavailable,
                      "not_run_platform_unavailable",
                      "the platform's service is needed but unavailable"},
    result_code_entry{not_run_too_large, "not_run_too_large",
                      "the body or a header exceeds its size limit"},
    result_code_entry{not_run_cancelled, "not_run_cancelled",
                      "the caller cancelled or disconnected before any byte "
                      "was sent to an upstream"},
    result_code_entry{unknown_upstream_lost, "unknown_upstream_lost",
                      "the connection to the upstream broke after bytes were "
                      "sent"},
    result_code_entry{unknown_deadline, "unknown_deadline",
                      "the deadline passed after bytes were sent to the "
                      "upstream"},
    result_code_entry{unknown_attempt_not_remembered,
                      "unknown_attempt_not_remembered",
                      "no reachable instance has a record of the earlier "
                      "attempt"},
    result_code_entry{unknown_claimed_elsewhere, "unknown_claimed_elsewhere",
                      "another instance claimed the key; the outcome is not "
                      "known"},
    result_code_entry{unknown_in_progress, "unknown_in_progress",
                      "the earlier attempt is still running"},
    result_code_entry{unknown_earlier_sending, "unknown_earlier_sending",
                      "this attempt did not run, but an earlier one may have"},
    result_code_entry{failed_by_upstream, "failed_by_upstream",
                      "the upstream answered with an error"},
    result_code_entry{failed_truncated, "failed_truncated",
                      "the answer ended before its end marker"},
    result_code_entry{sample_version_unknown, "sample_version_unknown",
                      "the sample's weight versions are not known; discarded"},
    result_code_entry{sample_too_old, "sample_too_old",
                      "the sample exceeded the staleness bound at hand-over; "
                      "discarded"},
    result_code_entry{cancelled_by_caller, "cancelled_by_caller",
                      "the caller cancelled or disconnected after the "
                      "request had started"},
    result_code_entry{step_superseded, "step_superseded",
                      "a newer session of the same step took over"},
    result_code_entry{answer_not_kept, "answer_not_kept",
                      "the call ran, but its answer is no longer stored"},
    result_code_entry{step_incomplete, "step_incomplete",
                      "the step ended without all of its samples"},
    result_code_entry{publish_conflict, "publish_conflict",
                      "another operator published first"},
    result_code_entry{publish_unknown, "publish_unknown",
                      "it is not known whether the publish took effect"},
    result_code_entry{invalid_document, "invalid_document",
                      "the service document is invalid"},
    result_code_entry{platform_unreachable, "platform_unreachable",
                      "the platform's service did not answer"},
    result_code_entry{not_found, "not_found",
                      "the requested object does not exist"},
    result_code_entry{fencing_refused, "fencing_refused",
                      "the upstream has seen a newer fencing number"},
    result_code_entry{bad_frame, "bad_frame",
                      "a peer's frame could not be decoded"},
    result_code_entry{invalid_settings, "invalid_settings",
                      "the settings file is invalid"},
    result_code_entry{lease_not_held, "lease_not_held",
                      "this instance does not hold the lease"},
    result_code_entry{invalid_chart, "invalid_chart",
                      "the state chart file is invalid"},
    result_code_entry{peer_unreachable, "peer_unreachable",
                      "the peer did not answer"},
    result_code_entry{invalid_json, "invalid_json",
                      "the text is not valid JSON"},
    result_code_entry{order_unknown, "order_unknown",
                      "it is not known whether the order took effect"},
    result_code_entry{
        rollout_stopped, "rollout_stopped",
        "the roll-out was stopped because it made upstreams fail"},
    result_code_entry{store_refused, "store_refused",
                      "the call to the store was refused and had no effect"},
    result_code_entry{
        store_unanswered, "store_unanswered",
        "the store did not answer; a write may still take effect"},
    result_code_entry{store_history_gone, "store_history_gone",
                      "the store no longer has the requested changes"},
};

constexpr unsigned class_width = 100;

} // namespace

result_class classify(result_code code) {
    if (code == result_code::ok) {
        return result_class::complete;
    }
    switch (static_cast<unsigned>(code) / class_width) {
    case 1:
        return result_class::not_run;
    case 2:
        return result_class::unknown;
    case 3:
        return result_class::failed;
    default:
        return result_class::control;
    }
}

std::string_view name_of(result_code code) {
    const auto* const found =
        std::find_if(entries.begin(), entries.end(),
                     [code](const auto& entry) { return entry.code == code; });
    return found == entries.end() ? "unlisted" : found->name;
}

unsigned http_status_of(result_code code) {
    switch (code) {
    case ok:
        return 200;
    case not_run_limit:
        return 429;
    case not_run_bad_request:
    case not_run_key_required:
    case invalid_document:
    case invalid_json:
        return 400;
    case not_run_unauthorized:
        return 401;
    case not_run_unknown_service:
    case not_found:
        return 404;
    case not_run_too_large:
        return 413;
    case not_run_suspect_request:
        return 422;
    case publish_conflict:
    case unknown_in_progress:
    case unknown_claimed_elsewhere:
    case unknown_attempt_not_remembered:
        return 409;
    case unknown_earlier_sending:
        return 503;
    case unknown_deadline:
        return 504;
    default:
        return classify(code) == result_class::not_run ? 503 : 502;
    }
}

std::span<const result_code_entry> all_result_codes() {
    return entries;
}

} // namespace savorydock
