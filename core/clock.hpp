#pragma once

#include <chrono>

namespace savorydock {

/// The time line of all decisions: monotonic, comparable in one process only.
using steady_time = std::chrono::steady_clock::time_point;

/// Where decision code takes the time from. Implementations are thread safe.
class clock_source {
public:
    virtual ~clock_source() = default;

    /// The current monotonic time.
    [[nodiscard]] virtual steady_time now() const = 0;
};

} // namespace savorydock
