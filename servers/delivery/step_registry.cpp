#include "servers/delivery/step_registry.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

namespace {

constexpr std::chrono::hours memory{1};
constexpr std::size_t max_steps = 16'384;

} // namespace

step_notice step_registry::open(step_opening opening, steady_time now) {
    entry& one = steps_[opening.key];
    if (opening.epoch < one.newest) {
        opening.hear_epoch(one.newest);
    } else {
        raise(one, opening.epoch, now);
        one.local = opening.epoch;
        one.hear_epoch = std::move(opening.hear_epoch);
    }
    return {.trainer = opening.key.trainer,
            .step = opening.key.step,
            .epoch = one.newest};
}

void step_registry::close(const step_key& key, session_epoch epoch) {
    const auto found = steps_.find(key);
    if (found != steps_.end() && found->second.local == epoch) {
        found->second.hear_epoch = nullptr;
    }
}

void step_registry::hear(const step_notice& notice, steady_time now) {
    const step_key key{.trainer = notice.trainer, .step = notice.step};
    if (steps_.size() >= max_steps && !steps_.contains(key)) {
        return;
    }
    raise(steps_[key], notice.epoch, now);
}

void step_registry::expire(steady_time now) {
    std::erase_if(steps_, [now](const auto& item) {
        return !item.second.hear_epoch && now - item.second.heard >= memory;
    });
}

void step_registry::raise(entry& one, session_epoch epoch, steady_time now) {
    one.heard = now;
    if (epoch <= one.newest) {
        return;
    }
    one.newest = epoch;
    if (one.hear_epoch) {
        std::exchange(one.hear_epoch, nullptr)(epoch);
    }
}

} // namespace savorydock
