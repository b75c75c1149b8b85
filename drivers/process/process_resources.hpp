#pragma once

namespace savorydock {

/// Makes the allocator return large blocks to the system as soon as they are
/// freed. By default, glibc keeps up to 64 MB of them once some were freed,
/// beyond the budgets for requests and answers. Call it before other threads
/// start.
void return_freed_blocks();

} // namespace savorydock
