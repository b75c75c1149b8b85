#include "servers/weights/rollout_health.hpp"

namespace savorydock {

double rollout_health::group::crash_rate() const {
    return upstreams == 0 ? 0 : static_cast<double>(crashed) / upstreams;
}

double rollout_health::group::error_rate() const {
    const std::uint64_t all = answered + failed;
    return all == 0 ? 0
                    : static_cast<double>(failed) / static_cast<double>(all);
}

void rollout_health::swap_done(const upstream_id& upstream, steady_time now) {
    // Observations from before the swap say nothing about the new version, but
    // a crash after an earlier swap to the same version counts.
    record& entry = records_[upstream];
    const bool has_crashed = entry.is_swapped && entry.has_crashed;
    entry = {.is_swapped = true, .swapped_at = now, .has_crashed = has_crashed};
}

void rollout_health::swap_failed(const upstream_id& upstream) {
    records_[upstream].has_failed_swap = true;
}

bool rollout_health::is_settled(const record& entry, steady_time now) const {
    return !entry.is_swapped || entry.has_served ||
           now - entry.swapped_at >= options_.settle_time;
}

void rollout_health::observe(const upstream_id& upstream,
                             upstream_evidence evidence, steady_time now) {
    record& entry = records_[upstream];
    switch (evidence) {
    case upstream_evidence::answered:
    case upstream_evidence::answered_slowly:
        entry.has_served = true;
        ++entry.answered;
        break;
    case upstream_evidence::refused_connection:
    case upstream_evidence::connection_lost:
        if (is_settled(entry, now)) {
            entry.has_crashed = true;
            ++entry.failed;
        }
        break;
    case upstream_evidence::timed_out:
        entry.failed += is_settled(entry, now) ? 1 : 0;
        break;
    case upstream_evidence::reported_leaving:
    case upstream_evidence::reported_overloaded:
        break;
    }
}

void rollout_health::observe_condition(const upstream_id& upstream,
                                       upstream_condition condition,
                                       steady_time now) {
    if (condition == upstream_condition::serving) {
        const auto found = records_.find(upstream);
        if (found != records_.end()) {
            found->second.has_served = true;
        }
    }
    if (condition == upstream_condition::suspected) {
        record& entry = records_[upstream];
        entry.has_crashed = entry.has_crashed || is_settled(entry, now);
    }
}

bool rollout_health::observe_old_version(const upstream_id& upstream) {
    const auto found = records_.find(upstream);
    if (found == records_.end() || !found->second.is_swapped ||
        found->second.has_reverted) {
        return false;
    }
    found->second.has_crashed = true;
    found->second.has_reverted = true;
    return true;
}

std::string rollout_health::reason_to_stop(std::size_t total) const {
    group swapped;
    group others;
    std::uint32_t failed_swaps = 0;
    std::uint32_t done_swaps = 0;
    for (const auto& [name, entry] : records_) {
        group& counts = entry.is_swapped ? swapped : others;
        ++counts.upstreams;
        counts.crashed += entry.has_crashed ? 1 : 0;
        counts.answered += entry.answered;
        counts.failed += entry.failed;
        failed_swaps += entry.has_failed_swap ? 1 : 0;
        done_swaps += entry.is_swapped ? 1 : 0;
    }
    // Upstreams without any observation belong to the others as well.
    others.upstreams = static_cast<std::uint32_t>(total) - swapped.upstreams;
    if (swapped.crashed >= options_.min_failed_upstreams &&
        swapped.crash_rate() >
            others.crash_rate() + options_.max_crash_excess) {
        return "crashed=" + std::to_string(swapped.crashed) +
               " swapped=" + std::to_string(swapped.upstreams);
    }
    if (swapped.answered + swapped.failed >= options_.min_answers &&
        swapped.error_rate() > others.error_rate() + options_.max_rate_excess) {
        return "failed_answers=" + std::to_string(swapped.failed) +
               " of=" + std::to_string(swapped.answered + swapped.failed);
    }
    if (failed_swaps > options_.min_failed_upstreams &&
        failed_swaps > done_swaps) {
        return "failed_swaps=" + std::to_string(failed_swaps) +
               " done_swaps=" + std::to_string(done_swaps);
    }
    return {};
}

} // namespace savorydock
