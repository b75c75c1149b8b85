#include "drivers/process/process_resources.hpp"

#include <malloc.h>

namespace savorydock {

namespace {

constexpr int large_block_bytes = 131'072;
constexpr int kept_free_bytes = 1'048'576;

} // namespace

void return_freed_blocks() {
#ifdef __GLIBC__
    // Setting either one ends their automatic growth.
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    ::mallopt(M_TRIM_THRESHOLD, kept_free_bytes);
#endif
}

} // namespace savorydock
