#pragma once

#include <chrono>
#include <cstdint>
#include <sys/types.h>

namespace savorydock {

/// What a process has used so far.
struct process_usage {
    std::chrono::milliseconds processor{0};
    std::uint64_t resident_bytes = 0;
};

/// Reads a process's usage; all zero if it is gone. Thread safe.
[[nodiscard]] process_usage read_usage(pid_t process);

} // namespace savorydock
