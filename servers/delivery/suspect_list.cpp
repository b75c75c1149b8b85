#include "servers/delivery/suspect_list.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

namespace {

/// Expired marks are removed at most this often.
constexpr std::chrono::milliseconds expiry_interval{1'000};

} // namespace

suspect_list::suspect_list(suspect_list_options options)
    : options_(std::move(options))
    , suspicion_({.self = options_.self,
                  .boot = options_.boot,
                  .marks_to_block = options_.marks_to_block,
                  .mark_lifetime = options_.mark_lifetime,
                  .partition_upstreams = std::nullopt}) {}

bool suspect_list::is_blocked(std::string_view fingerprint, steady_time now) {
    expire(now);
    return suspicion_.is_blocked(fingerprint);
}

void suspect_list::expire(steady_time now) {
    if (now >= next_expiry_) {
        suspicion_.expire(now);
        next_expiry_ = now + expiry_interval;
    }
}

void suspect_list::on_run_lost(const std::string& fingerprint,
                               const upstream_entry& upstream,
                               steady_time now) {
    expire(now);
    suspicion_update update =
        suspicion_.record_loss({{.service = upstream.service,
                                 .upstream = upstream.id,
                                 .upstream_started_at = upstream.started_at,
                                 .fingerprint = fingerprint}},
                               now);
    const bool is_repeated = suspicion_.marks_of(fingerprint) > 1;
    for (auto& [incident, pending] : pending_) {
        if (is_repeated && pending.shared.mark.fingerprint == fingerprint) {
            pending.due = std::min(pending.due, now);
        }
    }
    for (crash_mark& mark : update.marks) {
        const std::string incident = mark.incident;
        pending_[incident] = {
            .shared = {.mark = std::move(mark)},
            .due = is_repeated ? now : now + options_.single_mark_delay};
    }
    on_due_changed_();
}

bool suspect_list::on_run_finished(std::string_view fingerprint,
                                   steady_time now) {
    const suspicion_update update = suspicion_.clear(fingerprint, now);
    for (const std::string& incident : update.cleared) {
        const auto pending = pending_.find(incident);
        if (pending != pending_.end() && !pending->second.may_be_known) {
            pending_.erase(pending);
            continue;
        }
        pending_[incident] = {
            .shared = {.mark = {.incident = incident}, .is_cleared = true},
            .due = now};
    }
    if (!update.cleared.empty()) {
        on_due_changed_();
    }
    return !update.cleared.empty();
}

void suspect_list::merge(const shared_mark& shared, steady_time now) {
    suspicion_update update;
    if (shared.is_cleared) {
        update.cleared.push_back(shared.mark.incident);
    } else {
        update.marks.push_back(shared.mark);
    }
    suspicion_.merge(update, now);
}

std::vector<shared_mark> suspect_list::take_due(steady_time now) {
    std::vector<shared_mark> due;
    for (auto next = pending_.begin(); next != pending_.end();) {
        const auto current = next++;
        if (current->second.due <= now) {
            due.push_back(std::move(current->second.shared));
            pending_.erase(current);
        }
    }
    return due;
}

void suspect_list::put_back(std::vector<shared_mark> marks, steady_time now) {
    for (shared_mark& shared : marks) {
        const std::string incident = shared.mark.incident;
        // A clearing that came up meanwhile replaces the mark.
        pending_.try_emplace(incident, pending_mark{.shared = std::move(shared),
                                                    .due = now,
                                                    .may_be_known = true});
    }
}

std::optional<steady_time> suspect_list::next_due() const {
    std::optional<steady_time> earliest;
    for (const auto& [incident, pending] : pending_) {
        earliest = std::min(earliest.value_or(pending.due), pending.due);
    }
    return earliest;
}

} // namespace savorydock
