#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace savorydock {

/// How far a call to an upstream came.
enum class call_stage : std::uint8_t {
    /// No connection is open yet, and nothing was written.
    connecting,
    writing,
    /// The request is written, and no header of an answer has arrived.
    waiting,
    /// The header has arrived.
    reading,
};

/// Returns the stage's name for the log and the metrics. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(call_stage stage) {
    switch (stage) {
    case call_stage::connecting:
        return "connecting";
    case call_stage::writing:
        return "writing";
    case call_stage::waiting:
        return "waiting";
    case call_stage::reading:
        return "reading";
    }
    return "unlisted";
}

/// Progress of one call, written while the call runs.
struct call_trace {
    call_stage stage = call_stage::connecting;
    /// When the call's connection was opened; nothing while there is none.
    std::optional<steady_time> opened_at;
    /// The way that the connection takes to the upstream.
    std::string_view path = "direct";
};

} // namespace savorydock
