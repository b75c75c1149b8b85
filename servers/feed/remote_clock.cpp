#include "servers/feed/remote_clock.hpp"

#include <algorithm>

namespace savorydock {

void remote_clock::on_answer(reading sent_at, reading answered_at) {
    const reading offset = sent_at - answered_at;
    offset_ = offset_ ? std::max(*offset_, offset) : offset;
}

std::optional<remote_clock::reading>
remote_clock::earliest_local(reading remote) const {
    return offset_ ? std::optional(remote + *offset_) : std::nullopt;
}

} // namespace savorydock
