#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace savorydock {

/// The numbered result of a request, a sample or an operator's action.
///
/// The hundreds digit gives the class, see `classify`. The numbers are part of
/// the public interface, so never renumber a code. docs/RESULT_CODES.md lists
/// all codes; a test compares it with `all_result_codes`.
enum class result_code : std::uint16_t {
    ok = 0,

    not_run_overloaded = 100,
    not_run_no_upstream = 101,
    not_run_deadline = 102,
    not_run_limit = 103,
    not_run_bad_request = 104,
    not_run_unauthorized = 105,
    not_run_unknown_service = 106,
    not_run_no_configuration = 107,
    not_run_draining = 108,
    not_run_key_required = 109,
    not_run_suspect_request = 110,
    not_run_refused_by_upstream = 111,
    not_run_platform_unavailable = 112,
    not_run_too_large = 113,
    not_run_cancelled = 114,

    unknown_upstream_lost = 200,
    unknown_deadline = 201,
    unknown_attempt_not_remembered = 202,
    unknown_claimed_elsewhere = 203,
    unknown_in_progress = 204,
    unknown_earlier_sending = 205,

    failed_by_upstream = 300,
    failed_truncated = 301,
    sample_version_unknown = 302,
    sample_too_old = 303,
    cancelled_by_caller = 304,
    step_superseded = 305,
    answer_not_kept = 306,
    step_incomplete = 307,

    publish_conflict = 400,
    publish_unknown = 401,
    invalid_document = 402,
    platform_unreachable = 403,
    not_found = 404,
    fencing_refused = 405,
    bad_frame = 406,
    invalid_settings = 407,
    lease_not_held = 408,
    invalid_chart = 409,
    peer_unreachable = 410,
    invalid_json = 411,
    order_unknown = 412,
    rollout_stopped = 413,
    store_refused = 414,
    store_unanswered = 415,
    store_history_gone = 416,
};

/// What a caller can conclude about its request from a result code.
enum class result_class : std::uint8_t {
    /// The complete answer was delivered.
    complete,
    /// No upstream can have started the request.
    not_run,
    /// An upstream may have run the request.
    unknown,
    /// An upstream ran the request, but there is no complete answer.
    failed,
    /// The code is about a control or operator action, not a request.
    control,
};

/// One row of the table of codes.
struct result_code_entry {
    result_code code;
    std::string_view name;
    std::string_view meaning;
};

/// Returns the class of a code. Thread safe.
[[nodiscard]] result_class classify(result_code code);

/// Returns the name of a code, or "unlisted" if it has no row. Thread safe.
[[nodiscard]] std::string_view name_of(result_code code);

/// Returns the HTTP status of answers with this code. Thread safe.
[[nodiscard]] unsigned http_status_of(result_code code);

/// Returns all rows in the order of their numbers. Thread safe.
[[nodiscard]] std::span<const result_code_entry> all_result_codes();

} // namespace savorydock
