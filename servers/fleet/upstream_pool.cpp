#include "servers/fleet/upstream_pool.hpp"

#include <algorithm>

namespace savorydock {

namespace {

/// Weight of a new sample in the smoothed time of a call.
constexpr double time_smoothing = 0.2;
/// Pauses stop doubling after so many failures in a row.
constexpr std::uint32_t max_doublings = 5;

} // namespace

upstream_pool::upstream_pool(upstream_pool_options options)
    : options_(std::move(options)) {}

void upstream_pool::set_upstreams(
    const std::vector<upstream_entry>& upstreams) {
    std::set<upstream_id> listed;
    for (const upstream_entry& entry : upstreams) {
        listed.insert(entry.id);
        state& known = upstreams_[entry.id];
        if (known.entry.started_at != entry.started_at) {
            known.failures_in_row = 0;
            known.not_before = {};
        }
        known.entry = entry;
    }
    std::erase_if(upstreams_,
                  [&](const auto& row) { return !listed.contains(row.first); });
}

double upstream_pool::cost_of(const state& candidate) const {
    const double time =
        candidate.microseconds > 0
            ? candidate.microseconds
            : static_cast<double>(
                  std::chrono::microseconds(options_.assumed_time).count());
    const double queue = static_cast<double>(candidate.in_progress) /
                         static_cast<double>(candidate.entry.slots);
    const double hop = candidate.entry.zone == options_.zone
                           ? 0
                           : static_cast<double>(options_.zone_cost.count());
    // Calls in progress matter before all slots are taken, because the calls
    // of other instances are not seen.
    return time * (1 + queue) + hop;
}

std::optional<upstream_entry>
upstream_pool::choose(const service_name& service,
                      const std::set<upstream_id>& tried,
                      steady_time now) const {
    const state* best = nullptr;
    const state* soonest = nullptr;
    for (const auto& [id, candidate] : upstreams_) {
        if (candidate.entry.service != service || candidate.entry.is_draining ||
            tried.contains(id)) {
            continue;
        }
        if (candidate.not_before > now) {
            if (soonest == nullptr ||
                candidate.not_before < soonest->not_before) {
                soonest = &candidate;
            }
            continue;
        }
        if (best == nullptr || cost_of(candidate) < cost_of(*best)) {
            best = &candidate;
        }
    }
    best = best != nullptr ? best : soonest;
    return best == nullptr ? std::nullopt : std::optional(best->entry);
}

void upstream_pool::on_started(const upstream_id& upstream) {
    const auto found = upstreams_.find(upstream);
    if (found != upstreams_.end()) {
        ++found->second.in_progress;
    }
}

void upstream_pool::on_ended(const upstream_id& upstream, call_end end,
                             std::chrono::microseconds time, steady_time now) {
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end()) {
        return;
    }
    state& known = found->second;
    known.in_progress -= known.in_progress > 0 ? 1 : 0;
    switch (end) {
    case call_end::answered: {
        const auto sample = static_cast<double>(time.count());
        known.failures_in_row = 0;
        known.microseconds =
            known.microseconds == 0
                ? sample
                : known.microseconds +
                      time_smoothing * (sample - known.microseconds);
        break;
    }
    case call_end::full:
        known.not_before = now + options_.full_pause;
        break;
    case call_end::failed: {
        const auto factor = 1U
                            << std::min(known.failures_in_row, max_doublings);
        ++known.failures_in_row;
        known.not_before = now + std::min(options_.first_pause * factor,
                                          options_.longest_pause);
        break;
    }
    case call_end::cancelled:
        break;
    }
}

std::chrono::microseconds
upstream_pool::typical_time(const upstream_id& upstream) const {
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end() || found->second.microseconds == 0) {
        return options_.assumed_time;
    }
    return std::chrono::microseconds(
        static_cast<std::int64_t>(found->second.microseconds));
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
