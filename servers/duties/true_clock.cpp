#include "servers/duties/true_clock.hpp"

#include <cassert>

namespace savorydock {

void true_clock::update(boot_clock::time_point boot,
                        std::chrono::system_clock::time_point system) {
    const std::chrono::nanoseconds offset =
        system.time_since_epoch() - boot.time_since_epoch();
    const auto is_near = [&](std::chrono::nanoseconds other) {
        return std::chrono::abs(offset - other) <= options_.jump_bound;
    };
    if (!offset_ || is_near(*offset_)) {
        offset_ = offset;
        deviating_.reset();
        return;
    }
    if (!deviating_ || !is_near(deviating_->offset)) {
        deviating_ = deviation{.offset = offset, .since = boot};
    }
    if (boot - deviating_->since >= options_.adoption_time) {
        offset_ = offset;
        deviating_.reset();
    }
}

true_time true_clock::at(boot_clock::time_point boot) const {
    assert(offset_);
    return true_time(std::chrono::floor<std::chrono::milliseconds>(
        boot.time_since_epoch() + *offset_));
}

} // namespace savorydock
