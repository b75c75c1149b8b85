#include "tests/load/process_usage.hpp"

#include <fstream>
#include <limits>
#include <string>
#include <unistd.h>

namespace savorydock {

process_usage read_usage(pid_t process) {
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    // Skips the process name, which is in parentheses and may contain spaces.
    file.ignore(std::numeric_limits<std::streamsize>::max(), ')');
    std::string skipped;
    constexpr int fields_before_time = 11;
    constexpr int fields_before_resident = 8;
    for (int i = 0; i < fields_before_time; ++i) {
        file >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    file >> user >> system;
    for (int i = 0; i < fields_before_resident; ++i) {
        file >> skipped;
    }
    std::int64_t pages = 0;
    if (!(file >> pages)) {
        return {};
    }
    constexpr std::int64_t ms_per_second = 1000;
    return {
        .processor = std::chrono::milliseconds((user + system) * ms_per_second /
                                               sysconf(_SC_CLK_TCK)),
        .resident_bytes =
            static_cast<std::uint64_t>(pages * sysconf(_SC_PAGESIZE)),
    };
}

} // namespace savorydock
