#pragma once

#include "core/result_code.hpp"
#include "core/service_document.hpp"

#include <cstdint>
#include <span>

namespace savorydock {

/// Whether the upstream has executed a run, as far as its end shows.
enum class execution_state : std::uint8_t {
    /// The upstream cannot have begun.
    not_begun,
    /// The upstream returned an answer, which goes to the caller.
    answered,
    /// The upstream may have begun; it cannot be determined.
    unknown,
};

/// How a connection to an upstream failed.
enum class connection_fault : std::uint8_t {
    refused,
    unreachable,
    connect_timed_out,
    /// Closed before any byte of the request was handed to the socket.
    closed_before_send,
    /// For this and all following values, bytes were handed to the socket.
    closed_after_send,
    timed_out_after_send,
    closed_in_answer,
    answer_not_http,
};

/// Consequences of a run's end for its request.
struct run_classification {
    execution_state execution = execution_state::unknown;
    /// A retry, on another upstream or later, may succeed.
    bool is_retry_useful = false;
    /// The code for the caller if the request is not retried.
    result_code code = result_code::unknown_upstream_lost;
};

/// One row of the table of HTTP statuses, with the execution state for each
/// kind of service.
struct status_row {
    std::uint32_t status = 0;
    execution_state plain = execution_state::answered;
    execution_state model = execution_state::answered;
    bool is_retry_useful = false;
};

/// Classifies a run that ended with an HTTP status. A refusal by a plain
/// service counts as its answer, since only its owners know how far it had
/// processed the request; a 429 from a model engine comes from its admission
/// control, before the run begins. Thread safe.
[[nodiscard]] run_classification classify_status(std::uint32_t status,
                                                 service_kind kind);

/// Classifies a run that ended without an HTTP status. Thread safe.
[[nodiscard]] run_classification classify_fault(connection_fault fault);

/// The rows of individually listed statuses; other statuses are classified by
/// their range. Thread safe.
[[nodiscard]] std::span<const status_row> all_status_rows();

} // namespace savorydock
