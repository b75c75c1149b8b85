#pragma once

#include "core/result_code.hpp"
#include "core/service_document.hpp"

#include <cstdint>
#include <span>

namespace savorydock {

/// What can be said of one run from how it ended.
enum class upstream_fate : std::uint8_t {
    /// The upstream can't have begun.
    not_begun,
    /// The upstream gave its own answer, which is the caller's.
    answered,
    /// It may have begun; nobody can tell.
    unknown,
};

/// How a connection to an upstream failed.
enum class connection_fault : std::uint8_t {
    refused,
    unreachable,
    connect_timed_out,
    /// Closed while no byte of the request had been handed to the socket.
    closed_before_send,
    /// From here on bytes had been handed over.
    closed_after_send,
    timed_out_after_send,
    closed_in_answer,
    answer_not_http,
};

/// What a run's end means for the request.
struct upstream_ruling {
    upstream_fate fate = upstream_fate::unknown;
    /// Another upstream, or a later time, may do better.
    bool is_repeat_useful = false;
    /// What the caller learns if it is not repeated.
    result_code code = result_code::unknown_upstream_lost;
};

/// One row of the table of HTTP statuses.
struct status_row {
    std::uint32_t status = 0;
    upstream_fate plain = upstream_fate::answered;
    upstream_fate model = upstream_fate::answered;
    bool is_repeat_useful = false;
};

/// Rules on a run that ended with an HTTP status. A plain service's refusal is
/// its own answer, since only its owners know how far it had come; a model
/// engine's 429 is its admission control speaking. Thread safe.
[[nodiscard]] upstream_ruling rule_on_status(std::uint32_t status,
                                             service_kind kind);

/// Rules on a run that ended without an HTTP status. Thread safe.
[[nodiscard]] upstream_ruling rule_on_fault(connection_fault fault);

/// The statuses with a row of their own; the others go by their class.
/// Thread safe.
[[nodiscard]] std::span<const status_row> all_status_rows();

} // namespace savorydock
