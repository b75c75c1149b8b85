#include "servers/feed/feed_follower.hpp"

#include <algorithm>

namespace savorydock {

feed_follower::feed_follower(feed_follower_options options)
    : options_(std::move(options))
    , prefixes_(options_.prefixes.size()) {}

void feed_follower::adopt(const instance_id& feeder, store_revision term) {
    if (term <= term_) {
        return;
    }
    feeder_ = feeder;
    term_ = term;
    fresh_at_ = {};
    prefixes_.assign(options_.prefixes.size(), {});
}

std::optional<std::size_t>
feed_follower::index_of(const std::string& prefix) const {
    const auto found =
        std::find(options_.prefixes.begin(), options_.prefixes.end(), prefix);
    if (found == options_.prefixes.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - options_.prefixes.begin());
}

std::vector<std::string> feed_follower::on_beat(const instance_id& feeder,
                                                const feed_beat& beat,
                                                steady_time now) {
    adopt(feeder, beat.term);
    std::vector<std::string> wanted;
    if (beat.term != term_ || beat.numbers.size() != prefixes_.size()) {
        return wanted;
    }
    fresh_at_ = std::max(fresh_at_, now - beat.age);
    for (std::size_t at = 0; at < prefixes_.size(); ++at) {
        prefix_state& state = prefixes_[at];
        const bool is_behind =
            !state.number || *state.number < beat.numbers[at];
        if (is_behind && now >= state.requested_at + options_.request_gap) {
            state.requested_at = now;
            wanted.push_back(options_.prefixes[at]);
        }
    }
    return wanted;
}

push_verdict feed_follower::on_push(const instance_id& feeder,
                                    const feed_push& push, steady_time now) {
    adopt(feeder, push.term);
    const auto index = index_of(push.prefix);
    if (push.term != term_ || !index) {
        return push_verdict::ignore;
    }
    prefix_state& state = prefixes_[*index];
    if (state.number && push.number <= *state.number) {
        return push_verdict::ignore;
    }
    if (!push.is_snapshot &&
        (!state.number || push.number != *state.number + 1)) {
        if (now < state.requested_at + options_.request_gap) {
            return push_verdict::ignore;
        }
        state.requested_at = now;
        return push_verdict::request;
    }
    state.number = push.number;
    return push_verdict::take;
}

bool feed_follower::is_following(steady_time now) const {
    return term_ != 0 && now < fresh_until() &&
           std::all_of(prefixes_.begin(), prefixes_.end(),
                       [](const prefix_state& state) {
                           return state.number.has_value();
                       });
}

} // namespace savorydock
