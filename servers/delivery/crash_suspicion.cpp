#include "servers/delivery/crash_suspicion.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace savorydock {

crash_suspicion::crash_suspicion(crash_suspicion_options options)
    : options_(std::move(options)) {}

suspicion_update crash_suspicion::record_loss(const std::vector<lost_run>& runs,
                                              steady_time now) {
    suspicion_update update;
    for (const lost_run& run : runs) {
        crash_mark mark{.incident = options_.self.text() + '/' + options_.boot +
                                    '/' + std::to_string(++last_incident_),
                        .fingerprint = run.fingerprint,
                        .service = run.service,
                        .upstream = run.upstream,
                        .is_sole_suspect = run.is_sole_suspect,
                        .remaining = options_.mark_lifetime,
                        .upstream_started_at = run.upstream_started_at};
        if (!add(mark, now + options_.mark_lifetime)) {
            continue;
        }
        recent_.push_back({.time = now,
                           .upstream = run.upstream,
                           .fingerprints = {run.fingerprint},
                           .incidents = {mark.incident}});
        update.marks.push_back(std::move(mark));
    }
    if (is_partition(now)) {
        for (const recent_loss& loss : std::exchange(recent_, {})) {
            for (const std::string& incident : loss.incidents) {
                remove(incident, now);
                update.cleared.push_back(incident);
            }
        }
    }
    return update;
}

bool crash_suspicion::is_partition(steady_time now) {
    if (!options_.partition_upstreams) {
        recent_.clear();
        return false;
    }
    while (!recent_.empty() &&
           now - recent_.front().time > options_.partition_window) {
        recent_.pop_front();
    }
    std::map<upstream_id, std::set<std::string>> lost;
    for (const recent_loss& loss : recent_) {
        lost[loss.upstream].insert(loss.fingerprints.begin(),
                                   loss.fingerprints.end());
    }
    if (lost.size() < *options_.partition_upstreams) {
        return false;
    }
    std::set<std::string> common = lost.begin()->second;
    for (const auto& entry : lost) {
        std::erase_if(common, [&](const std::string& fingerprint) {
            return !entry.second.contains(fingerprint);
        });
    }
    return common.empty();
}

suspicion_update crash_suspicion::clear(std::string_view fingerprint,
                                        steady_time now) {
    suspicion_update update;
    const auto found = by_fingerprint_.find(fingerprint);
    if (found == by_fingerprint_.end()) {
        return update;
    }
    update.cleared.assign(found->second.begin(), found->second.end());
    for (const std::string& incident : update.cleared) {
        remove(incident, now);
    }
    return update;
}

void crash_suspicion::merge(const suspicion_update& update, steady_time now) {
    for (const std::string& incident : update.cleared) {
        remove(incident, now);
    }
    for (const crash_mark& mark : update.marks) {
        const auto remaining =
            std::clamp(mark.remaining, std::chrono::milliseconds(0),
                       options_.mark_lifetime);
        static_cast<void>(add(mark, now + remaining));
    }
}

bool crash_suspicion::add(const crash_mark& mark, steady_time end) {
    if (cleared_.contains(mark.incident) ||
        marks_.size() >= options_.max_marks) {
        return false;
    }
    if (!marks_.emplace(mark.incident, stored_mark{mark, end}).second) {
        return false;
    }
    by_fingerprint_[mark.fingerprint].insert(mark.incident);
    return true;
}

void crash_suspicion::remove(const std::string& incident, steady_time now) {
    cleared_[incident] = now + options_.mark_lifetime;
    const auto found = marks_.find(incident);
    if (found == marks_.end()) {
        return;
    }
    const auto owner = by_fingerprint_.find(found->second.mark.fingerprint);
    owner->second.erase(incident);
    if (owner->second.empty()) {
        by_fingerprint_.erase(owner);
    }
    marks_.erase(found);
}

void crash_suspicion::expire(steady_time now) {
    for (auto next = marks_.begin(); next != marks_.end();) {
        const auto current = next++;
        if (now >= current->second.end) {
            const std::string incident = current->first;
            remove(incident, now);
        }
    }
    std::erase_if(cleared_,
                  [now](const auto& entry) { return now >= entry.second; });
}

bool crash_suspicion::is_blocked(std::string_view fingerprint) const {
    return marks_of(fingerprint) >= options_.marks_to_block;
}

std::size_t crash_suspicion::marks_of(std::string_view fingerprint) const {
    const auto found = by_fingerprint_.find(fingerprint);
    if (found == by_fingerprint_.end()) {
        return 0;
    }
    // A crash that several instances observed counts as one mark.
    std::set<std::tuple<upstream_id, std::uint64_t, bool>> distinct;
    for (const std::string& incident : found->second) {
        const crash_mark& mark = marks_.at(incident).mark;
        distinct.emplace(mark.upstream, mark.upstream_started_at,
                         mark.is_sole_suspect);
    }
    return distinct.size();
}

std::shared_ptr<const suspect_view> crash_suspicion::view() const {
    auto result = std::make_shared<suspect_view>();
    for (const auto& [fingerprint, incidents] : by_fingerprint_) {
        suspect& entry = (*result)[fingerprint];
        entry.is_blocked = is_blocked(fingerprint);
        for (const std::string& incident : incidents) {
            entry.excluded.push_back(marks_.at(incident).mark.upstream);
        }
    }
    return result;
}

} // namespace savorydock
