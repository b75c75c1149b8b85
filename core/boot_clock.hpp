#pragma once

#include <chrono>
#include <ctime>

namespace savorydock {

/// Monotonic clock that keeps counting while the machine is suspended. Lease
/// expiry is measured with it because the store's clock keeps running during
/// a suspension of this machine.
class boot_clock {
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// The current time. Thread safe.
    [[nodiscard]] static time_point now() {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) +
                          std::chrono::nanoseconds(time.tv_nsec));
    }

    /// The current reading, for messages to other instances. Thread safe.
    [[nodiscard]] static std::chrono::milliseconds reading() {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            now().time_since_epoch());
    }
};

} // namespace savorydock
