#pragma once

#include <cstddef>

namespace savorydock {

/// Makes the allocator return large blocks to the system as soon as they are
/// freed. By default, glibc keeps up to 64 MB of them once some were freed,
/// beyond the budgets for requests and answers. Call it before other threads
/// start.
void return_freed_blocks();

/// The memory of the machine, or of the control group of the process if that is
/// less; 0 if neither is known. Thread safe.
[[nodiscard]] std::size_t find_machine_memory();

/// Raises the limit on open descriptors as far as the process may, and returns
/// it; 0 if there is none. Thread safe.
std::size_t raise_descriptor_limit();

} // namespace savorydock
