#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace savorydock {

/// How old an instance's copies of the configuration and of the list of
/// upstreams may be.
struct view_age {
    /// Whether the copies are complete up to a recent time.
    bool is_current = true;
    /// Time since the copies were known to be complete; absent if unknown.
    std::optional<std::chrono::milliseconds> age;
    /// Upper bound of the time since the copies included the store's state,
    /// which also holds after a suspension of the process and behind slow
    /// links; absent if unknown.
    std::optional<std::chrono::milliseconds> confirmed_age;
    /// Sequence numbers of the last change that the feeder announced, and of
    /// the last one that this instance has; of the prefix that is furthest
    /// behind.
    std::uint64_t announced = 0;
    std::uint64_t held = 0;
    /// How long a change has been announced and missing.
    std::chrono::milliseconds missing_for{0};
};

/// Returns fields for a log line. Thread safe.
[[nodiscard]] std::string to_text(const view_age& view);

} // namespace savorydock
