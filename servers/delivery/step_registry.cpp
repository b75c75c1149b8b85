#include "servers/delivery/step_registry.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

namespace {

constexpr std::chrono::hours retention{1};
constexpr std::size_t max_steps = 16'384;

} // namespace

step_notice step_registry::open(step_opening opening, steady_time now) {
    entry& known = steps_[opening.key];
    if (opening.epoch < known.newest) {
        opening.on_newer_epoch(known.newest);
    } else {
        raise_epoch(known, opening.epoch, now);
        known.local = opening.epoch;
        known.on_newer_epoch = std::move(opening.on_newer_epoch);
    }
    return {.trainer = opening.key.trainer,
            .step = opening.key.step,
            .epoch = known.newest};
}

void step_registry::close(const step_key& key, session_epoch epoch) {
    const auto found = steps_.find(key);
    if (found != steps_.end() && found->second.local == epoch) {
        found->second.on_newer_epoch = nullptr;
    }
}

void step_registry::observe(const step_notice& notice, steady_time now) {
    const step_key key{.trainer = notice.trainer, .step = notice.step};
    if (steps_.size() >= max_steps && !steps_.contains(key)) {
        return;
    }
    raise_epoch(steps_[key], notice.epoch, now);
}

void step_registry::expire(steady_time now) {
    std::erase_if(steps_, [now](const auto& item) {
        return !item.second.on_newer_epoch &&
               now - item.second.last_update >= retention;
    });
}

void step_registry::raise_epoch(entry& known, session_epoch epoch,
                                steady_time now) {
    known.last_update = now;
    if (epoch <= known.newest) {
        return;
    }
    known.newest = epoch;
    if (known.on_newer_epoch) {
        std::exchange(known.on_newer_epoch, nullptr)(epoch);
    }
}

} // namespace savorydock
