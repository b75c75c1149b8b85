#include "servers/fleet/upstream_paths.hpp"

#include "servers/membership/stable_hash.hpp"

#include <algorithm>
#include <set>

namespace savorydock {

namespace {

/// Failures of this many upstreams may be the instance's own.
constexpr std::size_t suspect_upstreams = 2;
/// One in this many tunnels goes through a peer that isn't proven while fewer
/// than the wanted number are.
constexpr std::uint64_t unproven_turn = 4;

std::chrono::milliseconds elapsed(steady_time from, steady_time to) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

} // namespace

upstream_paths::upstream_paths(upstream_paths_options options,
                               random_source& random)
    : options_(std::move(options))
    , random_(random) {}

void upstream_paths::set_peers(const std::vector<path_peer>& peers) {
    std::map<instance_id, peer_state> updated;
    for (const path_peer& peer : peers) {
        if (peer.instance == options_.self) {
            continue;
        }
        const auto known = peers_.find(peer.instance);
        peer_state state =
            known == peers_.end()
                ? peer_state{.hash = stable_hash(options_.self.text() + ' ' +
                                                 peer.instance.text())}
                : known->second;
        state.zone = peer.zone;
        updated[peer.instance] = std::move(state);
    }
    peers_ = std::move(updated);
}

void upstream_paths::set_upstreams(const std::vector<endpoint>& upstreams) {
    std::set<std::string> listed;
    for (const endpoint& upstream : upstreams) {
        std::string key = to_text(upstream);
        upstreams_.try_emplace(key, upstream_state{.address = upstream});
        listed.insert(std::move(key));
    }
    std::erase_if(upstreams_,
                  [&](const auto& row) { return !listed.contains(row.first); });
}

bool upstream_paths::is_listed(const endpoint& upstream) const {
    return find(upstream) != nullptr;
}

upstream_paths::upstream_state* upstream_paths::find(const endpoint& upstream) {
    const auto found = upstreams_.find(to_text(upstream));
    return found == upstreams_.end() ? nullptr : &found->second;
}

const upstream_paths::upstream_state*
upstream_paths::find(const endpoint& upstream) const {
    const auto found = upstreams_.find(to_text(upstream));
    return found == upstreams_.end() ? nullptr : &found->second;
}

bool upstream_paths::is_recent(const std::optional<steady_time>& time,
                               steady_time now) const {
    return time && now < *time + options_.evidence_time;
}

std::size_t upstream_paths::at_most_listed(std::size_t wanted) const {
    return std::max<std::size_t>(1, std::min(wanted, upstreams_.size()));
}

bool upstream_paths::has_free_peer(steady_time now) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& row) {
        return row.second.blocked_until <= now;
    });
}

path_choice upstream_paths::choose(const endpoint& upstream,
                                   steady_time now) const {
    const upstream_state* const state = find(upstream);
    if (state == nullptr || !has_free_peer(now)) {
        return path_choice::direct_first;
    }
    if (is_isolated_) {
        return state->unreachable_until > now ? path_choice::none
                                              : path_choice::peers_only;
    }
    return state->direct_retry_at > now && state->unreachable_until <= now
               ? path_choice::peers_only
               : path_choice::direct_first;
}

std::chrono::milliseconds
upstream_paths::direct_time(std::chrono::milliseconds time_left) const {
    return std::clamp(time_left / 2, options_.min_direct_time,
                      options_.direct_time);
}

std::optional<std::chrono::milliseconds>
upstream_paths::max_direct_time(const endpoint& upstream) const {
    return peers_.empty() || find(upstream) == nullptr
               ? std::nullopt
               : std::optional(options_.max_direct_time);
}

std::vector<instance_id> upstream_paths::peers_to_ask(const endpoint& upstream,
                                                      steady_time now) {
    const upstream_state* const state = find(upstream);
    if (state == nullptr || state->unreachable_until > now) {
        return {};
    }
    using row = const std::pair<const instance_id, peer_state>*;
    std::vector<row> proven;
    std::vector<row> own_zone;
    std::vector<row> other_zones;
    for (const auto& peer : peers_) {
        if (peer.second.blocked_until > now) {
            continue;
        }
        const auto& succeeded_at = peer.second.succeeded_at;
        if (succeeded_at && now < *succeeded_at + options_.recent_time) {
            proven.push_back(&peer);
        } else if (peer.second.zone == options_.zone) {
            own_zone.push_back(&peer);
        } else {
            other_zones.push_back(&peer);
        }
    }
    const auto by_hash = [](row left, row right) {
        return left->second.hash < right->second.hash;
    };
    std::sort(proven.begin(), proven.end(), by_hash);
    std::sort(own_zone.begin(), own_zone.end(), by_hash);
    std::sort(other_zones.begin(), other_zones.end(), by_hash);
    // A whole zone may be cut off, so every second peer is of another one.
    std::vector<row> unproven;
    for (std::size_t i = 0; i < std::max(own_zone.size(), other_zones.size());
         ++i) {
        if (i < own_zone.size()) {
            unproven.push_back(own_zone[i]);
        }
        if (i < other_zones.size()) {
            unproven.push_back(other_zones[i]);
        }
    }
    const std::uint64_t turn = rotation_++;
    if (!proven.empty()) {
        const std::size_t used = std::min(proven.size(), options_.spread);
        std::rotate(proven.begin(),
                    proven.begin() + static_cast<std::ptrdiff_t>(turn % used),
                    proven.begin() + static_cast<std::ptrdiff_t>(used));
    }
    const bool is_unproven_first = proven.size() < options_.spread &&
                                   !unproven.empty() &&
                                   turn % unproven_turn == unproven_turn - 1;
    if (is_unproven_first) {
        proven.insert(proven.begin(), unproven.front());
        unproven.erase(unproven.begin());
    }
    proven.insert(proven.end(), unproven.begin(), unproven.end());
    std::vector<instance_id> chosen;
    for (const row peer : proven) {
        if (chosen.size() == options_.max_peers_asked) {
            break;
        }
        chosen.push_back(peer->first);
    }
    return chosen;
}

void upstream_paths::on_direct_established(const endpoint& upstream,
                                           steady_time now) {
    upstream_state* const state = find(upstream);
    if (state == nullptr) {
        return;
    }
    last_established_at_ = now;
    state->direct_failed_at.reset();
    state->is_reached_by_peer = false;
    state->direct_retry_at = {};
    state->direct_hold = {};
    state->unreachable_until = {};
    state->unreachable_hold = {};
}

void upstream_paths::on_direct_failed(const endpoint& upstream,
                                      steady_time now) {
    upstream_state* const state = find(upstream);
    if (state == nullptr) {
        return;
    }
    state->direct_failed_at = now;
    state->is_reached_by_peer = false;
}

void upstream_paths::on_peer_reached(const endpoint& upstream,
                                     const instance_id& peer, steady_time now) {
    const auto asked = peers_.find(peer);
    if (asked != peers_.end()) {
        asked->second.succeeded_at = now;
        asked->second.blocked_until = {};
    }
    upstream_state* const state = find(upstream);
    if (state == nullptr) {
        return;
    }
    state->unreachable_until = {};
    state->unreachable_hold = {};
    if (!state->direct_failed_at || state->is_reached_by_peer) {
        return;
    }
    state->is_reached_by_peer = true;
    state->direct_retry_at = now + next_hold(state->direct_hold);
    conclude(now);
}

void upstream_paths::on_peer_failed(const endpoint& upstream,
                                    const instance_id& peer, peer_failure how,
                                    steady_time now) {
    upstream_state* const state = find(upstream);
    const auto asked = peers_.find(peer);
    if (how == peer_failure::unreachable) {
        if (state != nullptr) {
            state->unreachable_until = now + next_hold(state->unreachable_hold);
        }
        return;
    }
    if (asked == peers_.end()) {
        return;
    }
    asked->second.succeeded_at.reset();
    asked->second.blocked_until =
        now + jittered(how == peer_failure::busy ? options_.busy_peer_time
                                                 : options_.failed_peer_time);
}

void upstream_paths::on_answered(const endpoint& upstream, steady_time now) {
    upstream_state* const state = find(upstream);
    if (state == nullptr) {
        return;
    }
    last_answered_at_ = now;
    state->unanswered_at.reset();
}

void upstream_paths::on_unanswered(const endpoint& upstream, steady_time now) {
    if (upstream_state* const state = find(upstream)) {
        state->unanswered_at = now;
    }
}

bool upstream_paths::is_suspect(steady_time now) const {
    if (is_isolated_) {
        return true;
    }
    const auto failed = std::count_if(
        upstreams_.begin(), upstreams_.end(), [&](const auto& row) {
            const auto& at = row.second.direct_failed_at;
            return is_recent(at, now) &&
                   (!last_established_at_ || *at > *last_established_at_);
        });
    return static_cast<std::size_t>(failed) >=
           at_most_listed(suspect_upstreams);
}

bool upstream_paths::are_connections_silent(steady_time now) const {
    const auto silent = std::count_if(
        upstreams_.begin(), upstreams_.end(), [&](const auto& row) {
            const auto& at = row.second.unanswered_at;
            return is_recent(at, now) &&
                   (!last_answered_at_ || *at > *last_answered_at_);
        });
    return static_cast<std::size_t>(silent) >=
           at_most_listed(suspect_upstreams);
}

bool upstream_paths::may_reuse(const endpoint& upstream, bool is_direct,
                               std::uint64_t epoch, steady_time now) const {
    const upstream_state* const state = find(upstream);
    if (state == nullptr) {
        return true;
    }
    if (epoch != epoch_ || is_recent(state->unanswered_at, now) ||
        are_connections_silent(now)) {
        return false;
    }
    if (!is_direct) {
        return is_isolated_ || state->direct_retry_at > now;
    }
    return !is_isolated_ && !is_suspect(now);
}

void upstream_paths::conclude(steady_time now) {
    if (is_isolated_) {
        return;
    }
    isolation_evidence found;
    for (const auto& [key, state] : upstreams_) {
        const auto& at = state.direct_failed_at;
        if (!is_recent(at, now) ||
            (last_established_at_ && *at <= *last_established_at_)) {
            continue;
        }
        ++found.upstreams_failed;
        found.upstreams_reached_by_peers += state.is_reached_by_peer ? 1 : 0;
    }
    if (found.upstreams_reached_by_peers <
        at_most_listed(options_.isolation_upstreams)) {
        return;
    }
    if (last_established_at_) {
        found.since_success = elapsed(*last_established_at_, now);
    }
    evidence_ = found;
    is_isolated_ = true;
    ++epoch_;
    is_probing_ = false;
    probes_succeeded_ = 0;
    probe_delay_ = options_.probe_interval;
    probe_at_ = now + jittered(probe_delay_);
}

void upstream_paths::end_isolation() {
    is_isolated_ = false;
    ++epoch_;
    for (auto& [key, state] : upstreams_) {
        state.direct_failed_at.reset();
        state.is_reached_by_peer = false;
        state.direct_retry_at = {};
        state.direct_hold = {};
        state.unanswered_at.reset();
    }
}

std::optional<endpoint> upstream_paths::next_probe(steady_time now) {
    if (!is_isolated_ || is_probing_ || now < probe_at_ || upstreams_.empty()) {
        return std::nullopt;
    }
    auto chosen = upstreams_.begin();
    std::advance(chosen,
                 static_cast<std::ptrdiff_t>(random_.below(upstreams_.size())));
    if (chosen->first == last_probed_ && ++chosen == upstreams_.end()) {
        chosen = upstreams_.begin();
    }
    last_probed_ = chosen->first;
    is_probing_ = true;
    return chosen->second.address;
}

void upstream_paths::on_probe_ended(const endpoint& upstream,
                                    bool is_established, steady_time now) {
    is_probing_ = false;
    if (!is_isolated_) {
        return;
    }
    if (!is_established) {
        probes_succeeded_ = 0;
        probe_delay_ =
            std::min(options_.max_probe_interval, probe_delay_ * 3 / 2);
        probe_at_ = now + jittered(probe_delay_);
        return;
    }
    ++probes_succeeded_;
    probe_delay_ = options_.probe_interval;
    probe_at_ = now + jittered(probe_delay_);
    if (probes_succeeded_ >= options_.probes_to_end) {
        on_direct_established(upstream, now);
        end_isolation();
    }
}

std::chrono::milliseconds
upstream_paths::next_hold(std::chrono::milliseconds& hold) {
    hold = hold.count() == 0 ? options_.hold_time
                             : std::min(options_.max_hold_time, hold * 2);
    return jittered(hold);
}

std::chrono::milliseconds
upstream_paths::jittered(std::chrono::milliseconds time) {
    const auto half =
        static_cast<std::uint64_t>(std::max<std::int64_t>(1, time.count() / 2));
    return time * 3 / 4 + std::chrono::milliseconds(random_.below(half));
}

} // namespace savorydock
