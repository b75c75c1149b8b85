#pragma once

#include <chrono>

namespace savorydock {

/// The point in time that all decisions are based on: monotonic, comparable
/// only within one process.
using steady_time = std::chrono::steady_clock::time_point;

/// The clock interface for decision code. Implementations are thread safe.
class clock_source {
public:
    virtual ~clock_source() = default;

    /// Returns the current monotonic time.
    [[nodiscard]] virtual steady_time now() const = 0;
};

} // namespace savorydock
