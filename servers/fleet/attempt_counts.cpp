#include "servers/fleet/attempt_counts.hpp"

#include <utility>

namespace savorydock {

bool attempt_counts::on_failed(call_stage stage, bool is_kept,
                               steady_time now) {
    ++(is_kept ? on_kept_ : on_new_).failed.at(static_cast<std::size_t>(stage));
    if (now >= period_began_ + options_.period) {
        period_began_ = now;
        lines_ = 0;
    }
    if (lines_ >= options_.max_lines) {
        ++unlogged_;
        return false;
    }
    ++lines_;
    return true;
}

std::uint64_t attempt_counts::take_unlogged() {
    return std::exchange(unlogged_, 0);
}

} // namespace savorydock
