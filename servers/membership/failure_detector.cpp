#include "servers/membership/failure_detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace savorydock {

failure_detector::failure_detector(member_table& table,
                                   failure_detector_options options,
                                   random_source& random)
    : table_(table)
    , options_(options)
    , random_(random) {}

std::vector<instance_id>
failure_detector::on_tick(steady_time now, std::vector<probe_action>& out) {
    std::vector<instance_id> changed;
    if (next_probe_at_ == steady_time{}) {
        const auto period =
            static_cast<std::uint64_t>(options_.probe_period.count());
        next_probe_at_ = now + std::chrono::milliseconds(random_.below(period));
        next_dead_probe_at_ = now + options_.dead_probe_period;
    }
    if (probe_ && !probe_->is_acked && !probe_->is_indirect &&
        now - probe_->sent_at >= options_.ack_timeout) {
        request_indirect_probes(out);
    }
    if (now >= next_probe_at_) {
        finish_probe(now, changed);
        expire_suspicions(now, changed);
        start_probe(now, out);
        next_probe_at_ += options_.probe_period;
        // Probes missed while this process was suspended are skipped.
        next_probe_at_ = std::max(next_probe_at_, now);
    }
    if (now >= next_dead_probe_at_) {
        probe_dead_member(now, out);
    }
    return changed;
}

void failure_detector::request_indirect_probes(std::vector<probe_action>& out) {
    probe_->is_indirect = true;
    for (std::uint32_t i = 0; i < options_.indirect_probes; ++i) {
        const auto helper = pick_living();
        if (helper && *helper != probe_->target) {
            out.push_back({membership_kind::ping_request, *helper,
                           probe_->target, probe_->sequence});
        }
    }
}

void failure_detector::finish_probe(steady_time now,
                                    std::vector<instance_id>& changed) {
    if (!probe_ || probe_->is_acked) {
        return;
    }
    // If this process was suspended, a missing ack is no evidence against
    // the target.
    const bool was_paused = now - probe_->sent_at > 3 * options_.probe_period;
    if (!was_paused &&
        table_.set_condition(probe_->target, member_condition::suspect, now)) {
        changed.push_back(probe_->target);
    }
}

void failure_detector::start_probe(steady_time now,
                                   std::vector<probe_action>& out) {
    probe_.reset();
    const bool is_own_zone = random_.below(100) < options_.own_zone_percent;
    auto target =
        is_own_zone
            ? next_in_round(own_zone_round_, table_.living_in_own_zone())
            : next_in_round(other_zone_round_, table_.living_in_other_zones());
    if (!target) {
        target = is_own_zone ? next_in_round(other_zone_round_,
                                             table_.living_in_other_zones())
                             : next_in_round(own_zone_round_,
                                             table_.living_in_own_zone());
    }
    if (!target) {
        return;
    }
    probe_ =
        probe{.target = *target, .sequence = ++last_sequence_, .sent_at = now};
    out.push_back({membership_kind::ping, *target, {}, last_sequence_});
}

void failure_detector::probe_dead_member(steady_time now,
                                         std::vector<probe_action>& out) {
    const auto period =
        static_cast<std::uint64_t>(options_.dead_probe_period.count());
    next_dead_probe_at_ = now + options_.dead_probe_period / 2 +
                          std::chrono::milliseconds(random_.below(period));
    if (const auto target = pick_random(table_.not_living())) {
        out.push_back({membership_kind::ping, *target, {}, ++last_sequence_});
    }
}

void failure_detector::expire_suspicions(steady_time now,
                                         std::vector<instance_id>& changed) {
    const double size = std::log10(static_cast<double>(table_.living_count()));
    const auto limit = options_.suspicion_timeout * std::max(1.0, size);
    std::vector<instance_id> overdue;
    for (const auto& [name, stored] : table_.members()) {
        if (stored.record.condition == member_condition::suspect &&
            now - stored.changed_at > limit) {
            overdue.push_back(name);
        }
    }
    for (const instance_id& name : overdue) {
        if (table_.set_condition(name, member_condition::dead, now)) {
            changed.push_back(name);
        }
    }
}

void failure_detector::on_ack(std::uint64_t sequence,
                              std::vector<probe_action>& out) {
    if (probe_ && probe_->sequence == sequence) {
        probe_->is_acked = true;
    }
    std::erase_if(relays_, [&](const relay& entry) {
        if (entry.sequence != sequence) {
            return false;
        }
        out.push_back({membership_kind::ack,
                       entry.requester,
                       {},
                       entry.requester_sequence});
        return true;
    });
}

void failure_detector::on_ping_request(const instance_id& from,
                                       std::uint64_t sequence,
                                       const instance_id& target,
                                       steady_time now,
                                       std::vector<probe_action>& out) {
    std::erase_if(relays_,
                  [&](const relay& entry) { return entry.expires_at <= now; });
    if (relays_.size() >= max_relays || table_.find(target) == nullptr) {
        return;
    }
    relays_.push_back({.sequence = ++last_sequence_,
                       .requester = from,
                       .requester_sequence = sequence,
                       .expires_at = now + options_.probe_period});
    out.push_back({membership_kind::ping, target, {}, last_sequence_});
}

std::optional<instance_id> failure_detector::pick_living() {
    const bool is_own_zone = random_.below(100) < options_.own_zone_percent;
    const auto first =
        pick_random(is_own_zone ? table_.living_in_own_zone()
                                : table_.living_in_other_zones());
    if (first) {
        return first;
    }
    return pick_random(is_own_zone ? table_.living_in_other_zones()
                                   : table_.living_in_own_zone());
}

std::optional<instance_id>
failure_detector::pick_random(std::span<const instance_id> names) {
    if (names.empty()) {
        return std::nullopt;
    }
    return names[random_.below(names.size())];
}

std::optional<instance_id>
failure_detector::next_in_round(std::vector<instance_id>& round,
                                std::span<const instance_id> names) {
    if (round.empty()) {
        round.assign(names.begin(), names.end());
        for (std::size_t i = round.size(); i > 1; --i) {
            std::swap(round[i - 1], round[random_.below(i)]);
        }
    }
    while (!round.empty()) {
        instance_id name = std::move(round.back());
        round.pop_back();
        const member* found = table_.find(name);
        if (found != nullptr && is_living(found->record.condition)) {
            return name;
        }
    }
    return pick_random(names);
}

} // namespace savorydock
