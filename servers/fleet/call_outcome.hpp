#pragma once

#include <cstdint>

namespace savorydock {

/// How a call ended, as far as it is relevant to its upstream's health.
enum class call_outcome : std::uint8_t {
    answered,
    /// Answered with a server error, which says little about the time of calls.
    answered_with_error,
    /// The upstream reported that it did not run the call.
    full,
    /// The connection broke, the call timed out or the response was invalid.
    failed,
    /// The caller disconnected; says nothing about the upstream.
    cancelled,
};

} // namespace savorydock
