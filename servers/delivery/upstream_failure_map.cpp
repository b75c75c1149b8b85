#include "servers/delivery/upstream_failure_map.hpp"

#include <algorithm>
#include <array>

namespace savorydock {

namespace {

using enum execution_state;

constexpr std::array status_rows{
    status_row{400, answered, answered, false},
    status_row{401, answered, answered, false},
    status_row{403, answered, answered, false},
    status_row{404, answered, answered, false},
    status_row{405, answered, answered, false},
    status_row{406, answered, answered, false},
    // The upstream timed out reading the request and may have processed part
    // of the body.
    status_row{408, unknown, unknown, true},
    status_row{409, answered, answered, false},
    status_row{410, answered, answered, false},
    status_row{411, answered, answered, false},
    status_row{412, answered, answered, false},
    status_row{413, answered, answered, false},
    status_row{414, answered, answered, false},
    status_row{415, answered, answered, false},
    status_row{417, answered, answered, false},
    // RFC 9110 defines 421 and RFC 8470 defines 425 as not processed.
    status_row{421, not_begun, not_begun, true},
    status_row{422, answered, answered, false},
    status_row{425, not_begun, not_begun, true},
    status_row{428, answered, answered, false},
    status_row{429, answered, not_begun, true},
    status_row{431, answered, answered, false},
    status_row{500, answered, answered, true},
    status_row{501, answered, answered, false},
    // A gateway in front of the upstream lost the connection to it.
    status_row{502, unknown, unknown, true},
    // An engine also returns this on shutdown with runs in progress.
    status_row{503, answered, unknown, true},
    status_row{504, unknown, unknown, true},
    status_row{505, answered, answered, false},
    status_row{507, answered, answered, true},
};

constexpr std::uint32_t first_success = 200;
constexpr std::uint32_t first_client_error = 400;
constexpr std::uint32_t first_server_error = 500;
constexpr std::uint32_t past_last_status = 600;

status_row row_of_class(std::uint32_t status) {
    const bool is_status = status >= first_success && status < past_last_status;
    const execution_state execution = is_status ? answered : unknown;
    return {status, execution, execution,
            status >= first_server_error || !is_status};
}

status_row row_of(std::uint32_t status) {
    const auto* const found = std::find_if(
        status_rows.begin(), status_rows.end(),
        [status](const auto& row) { return row.status == status; });
    return found == status_rows.end() ? row_of_class(status) : *found;
}

} // namespace

run_classification classify_status(std::uint32_t status, service_kind kind) {
    const status_row row = row_of(status);
    const execution_state execution =
        kind == service_kind::model ? row.model : row.plain;
    run_classification classification{.execution = execution,
                                      .is_retry_useful = row.is_retry_useful};
    if (execution == not_begun) {
        classification.code = result_code::not_run_refused_by_upstream;
    } else if (execution == answered) {
        classification.code = status < first_client_error
                                  ? result_code::ok
                                  : result_code::failed_by_upstream;
    }
    return classification;
}

run_classification classify_fault(connection_fault fault) {
    switch (fault) {
    case connection_fault::refused:
    case connection_fault::unreachable:
    case connection_fault::connect_timed_out:
    case connection_fault::closed_before_send:
        return {.execution = not_begun,
                .is_retry_useful = true,
                .code = result_code::not_run_no_upstream};
    case connection_fault::timed_out_after_send:
        return {.execution = unknown,
                .is_retry_useful = true,
                .code = result_code::unknown_deadline};
    case connection_fault::closed_after_send:
    case connection_fault::closed_in_answer:
    case connection_fault::answer_not_http:
        break;
    }
    return {.execution = unknown,
            .is_retry_useful = true,
            .code = result_code::unknown_upstream_lost};
}

std::span<const status_row> all_status_rows() {
    return status_rows;
}

} // namespace savorydock
