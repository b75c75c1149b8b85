#include "servers/membership/upstream_health.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace savorydock {

namespace {

/// Failure score from which an upstream is suspected.
constexpr std::uint32_t suspect_score = 3;
constexpr std::uint32_t connection_refused_weight = 2;
constexpr std::uint32_t connection_lost_weight = 1;
/// With fewer failing upstreams a group is not considered cut off.
constexpr std::uint32_t min_failing_for_cut_off = 2;
/// An answer received within this time outweighs a suspicion reported by peers.
constexpr std::chrono::milliseconds recent_answer_window{1'000};

std::string detail_of(const upstream_key& key) {
    return "service=" + key.service.text() + " upstream=" + key.upstream.text();
}

std::optional<upstream_condition>
condition_of(const chart_position& lifecycle) {
    if (lifecycle.is_in("suspected")) {
        return upstream_condition::suspected;
    }
    if (lifecycle.is_in("leaving")) {
        return upstream_condition::leaving;
    }
    return std::nullopt;
}

} // namespace

upstream_health::upstream_health(const state_chart& chart,
                                 upstream_health_options options,
                                 random_source& random)
    : chart_(chart)
    , options_(std::move(options))
    , random_(random) {}

outcome<done> upstream_health::check_chart(const state_chart& chart) {
    return chart.require({"serving", "suspected", "probing", "leaving"},
                         {"suspect", "recover", "start_probe", "end_probe",
                          "leave", "register", "outlast_leave"});
}

void upstream_health::on_configuration(const configuration_view& view) {
    configured_.clear();
    group_sizes_.clear();
    std::set<upstream_key> keys;
    for (const auto& [name, service] : view.services()) {
        for (const upstream_rule& rule : service.document->upstreams) {
            configured_[{name, rule.name}] = rule.zone;
            keys.insert({name, rule.name});
            ++group_sizes_[{name, rule.zone}];
        }
    }
    registry_.retain(keys);
    std::erase_if(entries_, [&](const auto& entry) {
        return !configured_.contains(entry.first);
    });
    states_.reset();
}

upstream_health::tracked_upstream&
upstream_health::find_or_add(const upstream_key& key) {
    return entries_.try_emplace(key, chart_).first->second;
}

void upstream_health::observe(const upstream_observation& observation,
                              store_revision list_revision, steady_time now,
                              command_list& out) {
    const upstream_key key{observation.service, observation.upstream};
    if (!configured_.contains(key)) {
        return;
    }
    switch (observation.evidence) {
    case upstream_evidence::answered:
    case upstream_evidence::answered_slowly:
    case upstream_evidence::reported_overloaded:
        return note_answer(key, now, out);
    case upstream_evidence::refused_connection:
        return note_failure(key, connection_refused_weight, now, out);
    case upstream_evidence::connection_lost:
    case upstream_evidence::timed_out:
        return note_failure(key, connection_lost_weight, now, out);
    case upstream_evidence::reported_leaving:
        return note_reported_leaving(key, list_revision, now, out);
    }
}

void upstream_health::note_reported_leaving(const upstream_key& key,
                                            store_revision list_revision,
                                            steady_time now,
                                            command_list& out) {
    find_or_add(key).leave_reported_at = now;
    // The upstream reports this itself, so it also applies to its newest
    // registration.
    const upstream_record* record = registry_.find(key);
    const store_revision registered = record ? record->registered : 0;
    if (registry_.note_leaving(key, std::max(list_revision, registered))) {
        updated_keys_.insert(key);
    }
    apply_registry(key, now, out);
}

void upstream_health::note_failure(const upstream_key& key,
                                   std::uint32_t weight, steady_time now,
                                   command_list& out) {
    tracked_upstream& entry = find_or_add(key);
    if (now - entry.last_failure > options_.failure_window) {
        entry.failure_score = 0;
    }
    entry.last_failure = now;
    entry.failure_score += weight;
    const bool is_probe = entry.lifecycle.is_in("probing");
    if (entry.failure_score < suspect_score && !is_probe) {
        return;
    }
    suspect(key, entry, now, out);
}

void upstream_health::suspect(const upstream_key& key, tracked_upstream& entry,
                              steady_time now, command_list& out) {
    if (!fire(key, entry, "suspect", out)) {
        return;
    }
    entry.recover_at = {};
    entry.probe_at = next_probe(now);
    entry.announce_at = now + options_.announce_delay;
}

void upstream_health::note_answer(const upstream_key& key, steady_time now,
                                  command_list& out) {
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return;
    }
    tracked_upstream& entry = found->second;
    entry.failure_score = 0;
    entry.last_answer = now;
    entry.announce_at = {};
    if (!fire(key, entry, "recover", out)) {
        return;
    }
    // The upstream answers after its leaving state timed out: a newer
    // registration ends that state on all instances.
    const upstream_record* record = registry_.find(key);
    if (record != nullptr && registry_.is_leaving(key) &&
        registry_.note_registered(key, record->leaving_through + 1)) {
        updated_keys_.insert(key);
    }
    // Changes nothing if this zone never reported the suspicion: an upstream
    // may be suspected without such a report, for example in a partition.
    const bool is_report_changed =
        registry_.note_report(key, options_.zone, false);
    if (is_report_changed) {
        updated_keys_.insert(key);
    }
}

void upstream_health::merge(const upstream_record& record, steady_time now,
                            command_list& out) {
    const upstream_key key{record.service, record.upstream};
    // Until the first configuration arrives, any upstream may turn out to be
    // part of it.
    if (!configured_.empty() && !configured_.contains(key)) {
        return;
    }
    if (registry_.merge(record)) {
        updated_keys_.insert(key);
        apply_registry(key, now, out);
    }
}

void upstream_health::on_listed(const upstream_key& key, store_revision created,
                                store_revision modified, bool is_leaving,
                                steady_time now, command_list& out) {
    if (!configured_.contains(key)) {
        return;
    }
    bool is_updated = false;
    if (is_leaving) {
        is_updated = registry_.note_leaving(key, modified);
    } else if (registry_.is_leaving(key)) {
        is_updated = registry_.note_registered(key, created);
    }
    if (is_updated) {
        updated_keys_.insert(key);
        apply_registry(key, now, out);
    }
}

void upstream_health::apply_registry(const upstream_key& key, steady_time now,
                                     command_list& out) {
    tracked_upstream& entry = find_or_add(key);
    const upstream_record* record = registry_.find(key);
    if (record == nullptr) {
        return;
    }
    const bool is_new_leave =
        record->leaving_through > entry.known_leaving_through;
    entry.known_leaving_through = record->leaving_through;
    if (registry_.is_leaving(key)) {
        const bool reported_now = entry.leave_reported_at == now;
        if (is_new_leave || reported_now) {
            entry.leave_reported_at = now;
            fire(key, entry, "leave", out);
        }
        return;
    }
    if (fire(key, entry, "register", out)) {
        entry.failure_score = 0;
    }
    apply_reports(key, entry, now, out);
}

void upstream_health::apply_reports(const upstream_key& key,
                                    tracked_upstream& entry, steady_time now,
                                    command_list& out) {
    const upstream_record* record = registry_.find(key);
    const auto configured = configured_.find(key);
    // A report of the own zone reflects what this instance would observe.
    // Without one, the report of the upstream's zone is the most reliable.
    const zone_report* report = find_report(*record, options_.zone);
    if (report == nullptr && configured != configured_.end()) {
        report = find_report(*record, configured->second);
    }
    if (report == nullptr) {
        return;
    }
    if (!report->is_suspected) {
        if (entry.lifecycle.is_in("suspected") &&
            entry.recover_at == steady_time{}) {
            const auto spread =
                static_cast<std::uint64_t>(options_.recovery_jitter.count());
            entry.recover_at =
                now + std::chrono::milliseconds(1 + random_.below(spread + 1));
        }
        return;
    }
    entry.recover_at = {};
    if (entry.last_answer != steady_time{} &&
        now - entry.last_answer < recent_answer_window) {
        if (registry_.note_report(key, options_.zone, false)) {
            updated_keys_.insert(key);
        }
        return;
    }
    if (fire(key, entry, "suspect", out)) {
        entry.probe_at = next_probe(now);
    }
}

void upstream_health::tick(steady_time now, const prober_predicate& is_prober,
                           command_list& out) {
    update_cut_off_groups(out);
    for (auto& [key, entry] : entries_) {
        tick_entry(key, entry, now, is_prober, out);
    }
}

void upstream_health::tick_entry(const upstream_key& key,
                                 tracked_upstream& entry, steady_time now,
                                 const prober_predicate& is_prober,
                                 command_list& out) {
    if (entry.lifecycle.is_in("leaving") &&
        now - entry.leave_reported_at > options_.leaving_timeout) {
        fire(key, entry, "outlast_leave", out);
        entry.probe_at = next_probe(now);
    }
    if (entry.announce_at != steady_time{} && now >= entry.announce_at) {
        entry.announce_at = {};
        if (!is_group_cut_off(key) &&
            registry_.note_report(key, options_.zone, true)) {
            updated_keys_.insert(key);
        }
    }
    if (entry.recover_at != steady_time{} && now >= entry.recover_at) {
        entry.recover_at = {};
        entry.failure_score = 0;
        fire(key, entry, "recover", out);
    }
    tick_probe(key, entry, now, is_prober);
}

void upstream_health::tick_probe(const upstream_key& key,
                                 tracked_upstream& entry, steady_time now,
                                 const prober_predicate& is_prober) {
    if (entry.lifecycle.is_in("probing") && now >= entry.probe_ends_at) {
        entry.lifecycle.fire("end_probe");
        entry.probe_at = next_probe(now);
        states_.reset();
    } else if (entry.lifecycle.is_in("suspected") && now >= entry.probe_at) {
        entry.probe_at = next_probe(now);
        if (is_prober(key)) {
            entry.lifecycle.fire("start_probe");
            entry.probe_ends_at = now + options_.probe_window;
            states_.reset();
        }
    }
}

void upstream_health::update_cut_off_groups(command_list& out) {
    std::map<group_key, std::uint32_t> failing;
    for (const auto& [key, entry] : entries_) {
        const auto configured = configured_.find(key);
        if (configured != configured_.end() &&
            entry.failure_score >= suspect_score) {
            ++failing[{key.service, configured->second}];
        }
    }
    const auto is_cut_off = [&](const group_key& group) {
        const std::uint32_t count = failing[group];
        return count >= min_failing_for_cut_off &&
               2 * count > group_sizes_[group];
    };
    const auto log = [&](log_event event, const group_key& group) {
        out.push_back(log_command{event, "service=" + group.first.text() +
                                             " zone=" + group.second.text()});
    };
    for (const auto& [group, count] : std::map(failing)) {
        if (is_cut_off(group) && cut_off_groups_.insert(group).second) {
            log(log_event::zone_cut_suspected, group);
        }
    }
    std::erase_if(cut_off_groups_, [&](const group_key& group) {
        if (is_cut_off(group)) {
            return false;
        }
        log(log_event::zone_cut_ended, group);
        return true;
    });
}

bool upstream_health::is_group_cut_off(const upstream_key& key) const {
    const auto configured = configured_.find(key);
    return configured != configured_.end() &&
           cut_off_groups_.contains({key.service, configured->second});
}

bool upstream_health::fire(const upstream_key& key, tracked_upstream& entry,
                           std::string_view event, command_list& out) {
    if (!entry.lifecycle.fire(event)) {
        return false;
    }
    states_.reset();
    if (entry.lifecycle.is_in("suspected")) {
        out.push_back(
            log_command{log_event::upstream_suspected, detail_of(key)});
    } else if (entry.lifecycle.is_in("leaving")) {
        out.push_back(log_command{log_event::upstream_leaving, detail_of(key)});
    } else {
        out.push_back(log_command{log_event::upstream_healthy, detail_of(key)});
    }
    return true;
}

steady_time upstream_health::next_probe(steady_time now) {
    const auto period =
        static_cast<std::uint64_t>(options_.probe_period.count());
    return now + options_.probe_period +
           std::chrono::milliseconds(random_.below(period + 1));
}

std::vector<upstream_key> upstream_health::take_updates() {
    std::vector<upstream_key> taken(updated_keys_.begin(), updated_keys_.end());
    updated_keys_.clear();
    return taken;
}

std::shared_ptr<const upstream_state_map> upstream_health::states() {
    if (!states_) {
        auto states = std::make_shared<upstream_state_map>();
        for (const auto& [key, entry] : entries_) {
            if (const auto condition = condition_of(entry.lifecycle)) {
                (*states)[key].condition = *condition;
            }
        }
        states_ = std::move(states);
    }
    return states_;
}

} // namespace savorydock
