#include "servers/feed/feed_follower.hpp"

#include <algorithm>

namespace savorydock {

namespace {

/// Limit on the announcements that wait for pushes. They are only of use while
/// they are recent.
constexpr std::size_t max_announcements = 32;

} // namespace

feed_follower::feed_follower(feed_follower_options options)
    : options_(std::move(options))
    , prefixes_(options_.prefixes.size()) {}

void feed_follower::follow_newer_term(const instance_id& feeder,
                                      store_revision term) {
    if (term <= term_) {
        return;
    }
    feeder_ = feeder;
    term_ = term;
    last_contact_ = {};
    announcements_.clear();
    prefixes_.assign(options_.prefixes.size(), {});
}

void feed_follower::prefix_state::announce(std::uint64_t newest,
                                           steady_time now) {
    announced = std::max(announced, newest);
    if (!is_behind()) {
        missing_since.reset();
    } else if (!missing_since) {
        missing_since = now;
    }
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

std::vector<std::string> feed_follower::on_heartbeat(
    const instance_id& feeder, const feed_heartbeat& heartbeat, steady_time now,
    std::optional<std::chrono::milliseconds> confirmed_at) {
    follow_newer_term(feeder, heartbeat.term);
    if (heartbeat.term != term_ ||
        heartbeat.numbers.size() != prefixes_.size()) {
        return {};
    }
    last_heard_ = now;
    announcements_.push_back({.numbers = heartbeat.numbers,
                              .contact = now - heartbeat.age,
                              .confirmed_at = confirmed_at});
    if (announcements_.size() > max_announcements) {
        announcements_.pop_front();
    }
    for (std::size_t i = 0; i < prefixes_.size(); ++i) {
        prefixes_[i].announce(heartbeat.numbers[i], now);
    }
    confirm_announcements();
    return take_requests(now);
}

bool feed_follower::take_request(prefix_state& state, steady_time now) const {
    if (state.requested_at &&
        now < *state.requested_at + options_.request_timeout) {
        return false;
    }
    state.requested_at = now;
    return true;
}

std::vector<std::string> feed_follower::take_requests(steady_time now) {
    std::vector<std::string> to_request;
    for (std::size_t i = 0; i < prefixes_.size(); ++i) {
        if (prefixes_[i].is_behind() && take_request(prefixes_[i], now)) {
            to_request.push_back(options_.prefixes[i]);
        }
    }
    return to_request;
}

void feed_follower::confirm_announcements() {
    const auto is_complete = [this](const announcement& waiting) {
        for (std::size_t i = 0; i < prefixes_.size(); ++i) {
            if (!prefixes_[i].number ||
                *prefixes_[i].number < waiting.numbers[i]) {
                return false;
            }
        }
        return true;
    };
    while (!announcements_.empty() && is_complete(announcements_.front())) {
        const announcement& complete = announcements_.front();
        last_contact_ = std::max(last_contact_, complete.contact);
        // An absent time compares as the earliest.
        confirmed_at_ = std::max(confirmed_at_, complete.confirmed_at);
        announcements_.pop_front();
    }
}

push_action feed_follower::on_push(const instance_id& feeder,
                                   const feed_push& push, steady_time now) {
    follow_newer_term(feeder, push.term);
    const auto index = index_of(push.prefix);
    if (push.term != term_ || !index) {
        return push_action::ignore;
    }
    prefix_state& state = prefixes_[*index];
    state.announce(push.number, now);
    if (push.is_reply()) {
        state.requested_at.reset();
    }
    if (state.number && push.number <= *state.number) {
        return push_action::ignore;
    }
    if (!push.is_reply() &&
        (!state.number || push.number != *state.number + 1)) {
        return take_request(state, now) ? push_action::request_changes
                                        : push_action::ignore;
    }
    state.number = push.number;
    state.announce(push.number, now);
    confirm_announcements();
    return push_action::apply;
}

bool feed_follower::is_following(steady_time now) const {
    return term_ != 0 && now < fresh_until() &&
           std::all_of(prefixes_.begin(), prefixes_.end(),
                       [](const prefix_state& state) {
                           return state.number.has_value();
                       });
}

feed_follower::gap feed_follower::find_gap(steady_time now) const {
    gap found;
    std::optional<steady_time> oldest;
    for (const prefix_state& state : prefixes_) {
        if (!state.missing_since ||
            (oldest && *state.missing_since >= *oldest)) {
            continue;
        }
        oldest = state.missing_since;
        found = {.announced = state.announced,
                 .held = state.number.value_or(0),
                 .missing_for =
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - *oldest)};
    }
    return found;
}

} // namespace savorydock
