#include "drivers/process/process_resources.hpp"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <malloc.h>
#include <string>
#include <sys/resource.h>
#include <unistd.h>

namespace savorydock {

namespace {

constexpr int large_block_bytes = 131'072;
constexpr int kept_free_bytes = 1'048'576;
/// The limit of the control group, in version 2 and version 1. A process in a
/// container sees its own group there.
constexpr const char* group_files[] = {
    "/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"};

} // namespace

void return_freed_blocks() {
#ifdef __GLIBC__
    // Setting either one ends their automatic growth.
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    ::mallopt(M_TRIM_THRESHOLD, kept_free_bytes);
#endif
}

std::size_t find_machine_memory() {
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long page_bytes = ::sysconf(_SC_PAGESIZE);
    std::size_t memory = 0;
    if (pages > 0 && page_bytes > 0) {
        memory = static_cast<std::size_t>(pages) *
                 static_cast<std::size_t>(page_bytes);
    }
    for (const char* const file : group_files) {
        std::uint64_t limit = 0;
        // Without a limit the file holds "max", which isn't a number.
        if (std::ifstream(file) >> limit && limit > 0) {
            memory = memory == 0 ? limit : std::min<std::size_t>(memory, limit);
        }
    }
    return memory;
}

std::size_t raise_descriptor_limit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return 0;
    }
    if (limit.rlim_cur < limit.rlim_max) {
        const rlimit raised{.rlim_cur = limit.rlim_max,
                            .rlim_max = limit.rlim_max};
        if (::setrlimit(RLIMIT_NOFILE, &raised) == 0) {
            limit = raised;
        }
    }
    return limit.rlim_cur == RLIM_INFINITY
               ? 0
               : static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace savorydock
