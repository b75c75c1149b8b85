#pragma once

#include "core/boot_clock.hpp"

#include <chrono>
#include <optional>

namespace savorydock {

/// The time of day since the start of 1970.
using true_time = std::chrono::sys_time<std::chrono::milliseconds>;

struct true_clock_options {
    /// Larger changes of the system clock relative to the boot clock are jumps.
    std::chrono::milliseconds jump_bound{250};
    /// A jump is adopted once it has lasted this long.
    std::chrono::milliseconds adoption_time{60'000};
};

/// The time of day as the boot clock plus an offset.
///
/// Load pattern: on some machines the time of day jumps by seconds and jumps
/// back. Counts would then be assigned to the wrong windows. Therefore the
/// offset follows small changes at once, and jumps only if they last.
///
/// If the system clock is wrong when the first reading is taken, the error
/// remains until the correct time has lasted for `adoption_time`. Not thread
/// safe.
class true_clock {
public:
    explicit true_clock(true_clock_options options = {})
        : options_(options) {}

    /// Takes a reading of both clocks at the same moment.
    void update(boot_clock::time_point boot,
                std::chrono::system_clock::time_point system);

    /// Precondition: `update` was called.
    [[nodiscard]] true_time at(boot_clock::time_point boot) const;

    /// Whether the system clock deviates from this clock by more than a jump.
    [[nodiscard]] bool is_system_clock_off() const {
        return deviating_.has_value();
    }

private:
    struct deviation {
        std::chrono::nanoseconds offset{0};
        boot_clock::time_point since;
    };

    true_clock_options options_;
    std::optional<std::chrono::nanoseconds> offset_;
    std::optional<deviation> deviating_;
};

} // namespace savorydock
