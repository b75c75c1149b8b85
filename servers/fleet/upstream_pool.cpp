#include "servers/fleet/upstream_pool.hpp"

#include <algorithm>

namespace savorydock {

namespace {

/// Weight of a new sample in the smoothed call time.
constexpr double time_smoothing = 0.2;
/// The backoff stops doubling after this many consecutive failures.
constexpr std::uint32_t max_doublings = 5;

} // namespace

upstream_pool::upstream_pool(upstream_pool_options options)
    : options_(std::move(options))
    , limits_(options_.divide_limit) {
    if (options_.by_cost) {
        by_cost_.emplace(*options_.by_cost);
    }
}

void upstream_pool::set_upstreams(
    const std::vector<upstream_entry>& upstreams) {
    std::set<upstream_id> listed;
    for (const upstream_entry& entry : upstreams) {
        listed.insert(entry.id);
        state& known = upstreams_[entry.id];
        if (known.entry.started_at != entry.started_at) {
            known.consecutive_failures = 0;
            known.backoff_until = {};
            if (by_cost_) {
                by_cost_->work().on_restarted(entry.id);
            }
        }
        known.entry = entry;
        known.entry.is_draining =
            entry.is_draining || leaving_.is_leaving(entry);
    }
    std::erase_if(upstreams_,
                  [&](const auto& row) { return !listed.contains(row.first); });
    limits_.retain(listed);
    if (by_cost_) {
        by_cost_->work().retain(listed);
    }
}

double upstream_pool::cost_of(const state& candidate,
                              steady_time::duration wait) const {
    const double time =
        candidate.smoothed_microseconds > 0
            ? candidate.smoothed_microseconds
            : static_cast<double>(
                  std::chrono::microseconds(options_.default_call_time)
                      .count());
    const double queue = static_cast<double>(candidate.in_progress) /
                         static_cast<double>(candidate.entry.slots);
    const double hop =
        candidate.entry.zone == options_.zone
            ? 0
            : static_cast<double>(options_.cross_zone_cost.count());
    // Calls in progress raise the cost even while slots are free, because the
    // calls of other instances are not known here.
    return time * (1 + queue) + hop +
           std::chrono::duration<double, std::micro>(wait).count();
}

std::chrono::microseconds
upstream_pool::path_to(const state& candidate,
                       steady_time::duration wait) const {
    const auto hop = candidate.entry.zone == options_.zone
                         ? std::chrono::microseconds(0)
                         : options_.cross_zone_cost;
    return hop + std::chrono::duration_cast<std::chrono::microseconds>(wait);
}

const upstream_pool::state*
upstream_pool::choose_by_cost(const std::vector<const state*>& candidates,
                              const call_cost& cost, steady_time now) {
    std::vector<placement_candidate> placed;
    placed.reserve(candidates.size());
    for (const state* const candidate : candidates) {
        const upstream_id& id = candidate->entry.id;
        placed.push_back(
            {.upstream = id,
             .slots = candidate->entry.slots,
             .path =
                 path_to(*candidate, limits_.next_send_time(id, now) - now)});
    }
    return candidates[by_cost_->choose(placed, cost, now)];
}

std::optional<upstream_entry>
upstream_pool::choose(const service_name& service,
                      const std::set<upstream_id>& tried, steady_time now,
                      const software_version* software, const call_cost* cost) {
    std::vector<const state*> candidates;
    const state* best = nullptr;
    double best_cost = 0;
    const state* soonest = nullptr;
    for (const auto& [id, candidate] : upstreams_) {
        if (candidate.entry.service != service || candidate.entry.is_draining ||
            tried.contains(id) ||
            (software != nullptr &&
             (software->is_empty() || candidate.entry.software != *software))) {
            continue;
        }
        if (candidate.backoff_until > now) {
            if (soonest == nullptr ||
                candidate.backoff_until < soonest->backoff_until) {
                soonest = &candidate;
            }
            continue;
        }
        if (by_cost_ && cost != nullptr) {
            candidates.push_back(&candidate);
            continue;
        }
        const double time =
            cost_of(candidate, limits_.next_send_time(id, now) - now);
        if (best == nullptr || time < best_cost) {
            best = &candidate;
            best_cost = time;
        }
    }
    if (!candidates.empty()) {
        best = choose_by_cost(candidates, *cost, now);
    }
    best = best != nullptr ? best : soonest;
    return best == nullptr ? std::nullopt : std::optional(best->entry);
}

bool upstream_pool::mark_leaving(const upstream_id& upstream) {
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end()) {
        return leaving_.mark(upstream, std::nullopt);
    }
    found->second.entry.is_draining = true;
    return leaving_.mark(upstream, found->second.entry.started_at);
}

bool upstream_pool::is_leaving(const upstream_id& upstream) const {
    const auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? leaving_.contains(upstream)
                                     : leaving_.is_leaving(found->second.entry);
}

bool upstream_pool::is_available(const upstream_id& upstream) const {
    const auto found = upstreams_.find(upstream);
    return found != upstreams_.end() && !found->second.entry.is_draining;
}

bool upstream_pool::has_software(const service_name& service,
                                 const software_version& software) const {
    return std::any_of(upstreams_.begin(), upstreams_.end(),
                       [&](const auto& row) {
                           return row.second.entry.service == service &&
                                  row.second.entry.software == software;
                       });
}

void upstream_pool::on_started(const upstream_id& upstream) {
    const auto found = upstreams_.find(upstream);
    if (found != upstreams_.end()) {
        ++found->second.in_progress;
    }
}

void upstream_pool::on_ended(const upstream_id& upstream, call_outcome end,
                             std::chrono::microseconds time, steady_time now) {
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end()) {
        return;
    }
    state& known = found->second;
    known.in_progress -= known.in_progress > 0 ? 1 : 0;
    switch (end) {
    case call_outcome::answered:
    case call_outcome::answered_with_error: {
        const auto sample = static_cast<double>(time.count());
        known.consecutive_failures = 0;
        known.smoothed_microseconds =
            known.smoothed_microseconds == 0
                ? sample
                : known.smoothed_microseconds +
                      time_smoothing * (sample - known.smoothed_microseconds);
        break;
    }
    case call_outcome::full:
        known.backoff_until = now + options_.backoff_when_full;
        break;
    case call_outcome::failed: {
        const auto factor =
            1U << std::min(known.consecutive_failures, max_doublings);
        ++known.consecutive_failures;
        known.backoff_until = now + std::min(options_.initial_backoff * factor,
                                             options_.max_backoff);
        break;
    }
    case call_outcome::cancelled:
        break;
    }
}

std::uint64_t upstream_pool::on_started(const upstream_id& upstream,
                                        const call_cost& cost,
                                        steady_time now) {
    on_started(upstream);
    return upstreams_.contains(upstream)
               ? by_cost_->on_started(upstream, cost, now)
               : 0;
}

void upstream_pool::on_ended(const upstream_id& upstream, const call_cost& cost,
                             std::uint64_t call, call_outcome end,
                             std::chrono::microseconds time, steady_time now) {
    on_ended(upstream, end, time, now);
    by_cost_->on_ended(upstream, cost, call, end, time, now);
}

std::chrono::microseconds
upstream_pool::smoothed_call_time(const upstream_id& upstream) const {
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end() || found->second.smoothed_microseconds == 0) {
        return options_.default_call_time;
    }
    return std::chrono::microseconds(
        static_cast<std::int64_t>(found->second.smoothed_microseconds));
}

std::size_t upstream_pool::slots_of(const service_name& service) const {
    std::size_t slots = 0;
    for (const auto& [id, candidate] : upstreams_) {
        if (candidate.entry.service == service &&
            !candidate.entry.is_draining) {
            slots += candidate.entry.slots;
        }
    }
    return slots;
}

} // namespace savorydock
