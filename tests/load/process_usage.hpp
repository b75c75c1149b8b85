#pragma once

#include <chrono>
#include <cstdint>
#include <sys/types.h>

namespace savorydock {

/// Resource usage of a process since its start.
struct process_usage {
    std::chrono::milliseconds processor{0};
    std::uint64_t resident_bytes = 0;
};

/// Reads the usage of a process; all values are zero if it no longer exists.
/// Thread safe.
[[nodiscard]] process_usage read_usage(pid_t process);

} // namespace savorydock
