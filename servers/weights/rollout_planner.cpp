#include "servers/weights/rollout_planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace savorydock {

namespace {

/// The lag in versions above which more lag adds no urgency.
constexpr double max_counted_lag = 8;
/// Added for an upstream that is more than one version behind, so that it comes
/// before all others: without the bonus, urgency is at most 1.
constexpr double missed_version_urgency = 2;
constexpr std::uint32_t max_backoff_doublings = 10;

std::chrono::milliseconds backoff(const rollout_options& options,
                                  std::uint32_t failures) {
    const std::uint32_t doublings =
        std::min(failures - 1, max_backoff_doublings);
    return std::min(options.first_backoff * (1 << doublings),
                    options.longest_backoff);
}

} // namespace

rollout_planner::rollout_planner(rollout_options options)
    : options_(options)
    , health_(options) {}

void rollout_planner::set_goal(const rollout_goal& goal, command_list& out) {
    if (goal == goal_) {
        return;
    }
    const bool is_new_target = goal.target != goal_.target;
    if (is_new_target && !is_finished_) {
        log(log_event::rollout_skipped,
            " overtaken_by=" + std::to_string(goal.target), out);
    }
    goal_ = goal;
    if (!is_new_target) {
        return;
    }
    attempts_.clear();
    health_.clear();
    stop_reason_.clear();
    is_finished_ = goal.target == 0;
    if (!is_finished_) {
        log(log_event::rollout_started, "", out);
    }
}

void rollout_planner::resume() {
    stop_reason_.clear();
    health_.clear();
}

bool rollout_planner::is_left_out(const upstream_id& upstream) const {
    const auto found = attempts_.find(upstream);
    return found != attempts_.end() &&
           found->second.attempts >= options_.max_attempts;
}

bool rollout_planner::needs_order(weight_version version) const {
    if (goal_.target == 0 || version == goal_.target) {
        return false;
    }
    return version < goal_.target || version <= goal_.rollback_from;
}

std::vector<std::size_t>
rollout_planner::plan(std::span<const rollout_upstream> upstreams,
                      steady_time now, command_list& out) {
    const upstream_counts counts = count(upstreams);
    last_ordered_ = counts.ordered;
    if (goal_.target == 0 || is_finished_) {
        // An upstream that restarts with an old version reopens the roll-out.
        is_finished_ = goal_.target == 0 || counts.pending == 0;
    }
    if (is_finished_) {
        return {};
    }
    check_health(upstreams, now, out);
    finish_if_done(counts, out);
    if (is_stopped() || is_finished_) {
        return {};
    }
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        if (is_candidate(upstreams[i], now)) {
            candidates.push_back(i);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [&](std::size_t left, std::size_t right) {
                  const double first = urgency(upstreams[left]);
                  const double second = urgency(upstreams[right]);
                  return first != second ? first > second : left < right;
              });
    std::size_t store = store_capacity(counts.ordered);
    std::size_t room = wave_capacity(counts, upstreams.size());
    std::vector<std::size_t> chosen;
    for (const std::size_t candidate : candidates) {
        const bool is_serving =
            upstreams[candidate].condition == upstream_condition::serving;
        if (store == 0) {
            break;
        }
        if (is_serving && room == 0) {
            continue;
        }
        // Swapping an upstream that does not serve costs no capacity.
        room -= is_serving ? 1 : 0;
        --store;
        chosen.push_back(candidate);
    }
    return chosen;
}

rollout_planner::upstream_counts
rollout_planner::count(std::span<const rollout_upstream> upstreams) const {
    upstream_counts counts;
    for (const rollout_upstream& upstream : upstreams) {
        if (upstream.is_ordered) {
            ++counts.ordered;
        } else if (upstream.condition == upstream_condition::serving) {
            ++counts.serving;
            counts.busy += upstream.load;
        }
        const bool may_be_ordered =
            upstream.condition != upstream_condition::leaving;
        if (may_be_ordered && needs_order(upstream.version) &&
            !is_left_out(upstream.name)) {
            ++counts.pending;
        }
    }
    return counts;
}

std::size_t rollout_planner::wave_capacity(const upstream_counts& counts,
                                           std::size_t total) const {
    const auto floor = static_cast<std::size_t>(
        std::ceil(goal_.capacity_floor * static_cast<double>(total)));
    if (counts.serving <= floor) {
        // There are too few upstreams to keep the floor during a swap, so they
        // are swapped one at a time.
        const bool is_whole = counts.serving == total;
        return is_whole && goal_.capacity_floor < 1 ? 1 : 0;
    }
    const std::size_t room = counts.serving - floor;
    const auto needed = static_cast<std::size_t>(std::ceil(counts.busy));
    const std::size_t spare =
        counts.serving > needed ? counts.serving - needed : 0;
    const auto allowed = static_cast<double>(room + counts.ordered);
    const auto idle =
        std::min(allowed, static_cast<double>(spare + counts.ordered));
    const double wave_size = allowed + (goal_.idle_weight * (idle - allowed));
    const auto wave = std::max<std::size_t>(
        1, static_cast<std::size_t>(std::lround(wave_size)));
    return wave > counts.ordered ? std::min(room, wave - counts.ordered) : 0;
}

std::size_t rollout_planner::store_capacity(std::size_t ordered) const {
    std::size_t limit = std::numeric_limits<std::size_t>::max();
    if (goal_.fetches_at_once != 0) {
        limit = goal_.fetches_at_once;
    }
    if (store_limit_ != 0) {
        limit = std::min(limit, store_limit_);
    }
    return limit > ordered ? limit - ordered : 0;
}

double rollout_planner::urgency(const rollout_upstream& upstream) const {
    const bool is_behind = upstream.version < goal_.target;
    const double lag =
        is_behind ? static_cast<double>(goal_.target - upstream.version) : 1;
    const double staleness = std::min(lag, max_counted_lag) / max_counted_lag;
    const double idleness = 1 - std::min(upstream.load, 1.0);
    return ((1 - goal_.idle_weight) * staleness) +
           (goal_.idle_weight * idleness) +
           (lag > 1 ? missed_version_urgency : 0);
}

bool rollout_planner::is_candidate(const rollout_upstream& upstream,
                                   steady_time now) const {
    if (upstream.is_ordered || !upstream.is_ready ||
        upstream.condition == upstream_condition::leaving ||
        !needs_order(upstream.version)) {
        return false;
    }
    const auto found = attempts_.find(upstream.name);
    return found == attempts_.end() ||
           (found->second.attempts < options_.max_attempts &&
            now >= found->second.not_before);
}

void rollout_planner::swap_done(const upstream_id& upstream,
                                weight_version version, steady_time now) {
    if (version != goal_.target) {
        return;
    }
    health_.swap_done(upstream, now);
    if (store_limit_ != 0) {
        ++store_limit_;
    }
}

void rollout_planner::swap_failed(const upstream_id& upstream, swap_failure why,
                                  steady_time now, command_list& out) {
    attempt_record& record = attempts_[upstream];
    ++record.backoffs;
    record.not_before = now + backoff(options_, record.backoffs);
    if (why == swap_failure::store_busy) {
        store_limit_ = std::max<std::size_t>(1, last_ordered_ / 2);
        return;
    }
    health_.swap_failed(upstream);
    ++record.attempts;
    if (record.attempts == options_.max_attempts) {
        log(log_event::rollout_upstream_left_out,
            " upstream=" + upstream.text() +
                " attempts=" + std::to_string(record.attempts),
            out);
    }
}

void rollout_planner::observe(const upstream_id& upstream,
                              upstream_evidence evidence, steady_time now) {
    if (!is_finished_) {
        health_.observe(upstream, evidence, now);
    }
}

void rollout_planner::check_health(std::span<const rollout_upstream> upstreams,
                                   steady_time now, command_list& out) {
    if (is_stopped()) {
        return;
    }
    for (const rollout_upstream& upstream : upstreams) {
        if (upstream.is_ordered) {
            continue;
        }
        health_.observe_condition(upstream.name, upstream.condition, now);
        if (upstream.is_ready && needs_order(upstream.version) &&
            health_.observe_old_version(upstream.name)) {
            swap_failed(upstream.name, swap_failure::upstream_failed, now, out);
        }
    }
    stop_reason_ = health_.reason_to_stop(upstreams.size());
    if (is_stopped()) {
        log(log_event::rollout_stopped, " " + stop_reason_, out);
    }
}

void rollout_planner::finish_if_done(const upstream_counts& counts,
                                     command_list& out) {
    if (counts.pending != 0 || is_stopped()) {
        return;
    }
    is_finished_ = true;
    std::size_t left_out = 0;
    for (const auto& [name, record] : attempts_) {
        left_out += record.attempts >= options_.max_attempts ? 1 : 0;
    }
    log(log_event::rollout_finished, " left_out=" + std::to_string(left_out),
        out);
}

void rollout_planner::log(log_event event, const std::string& detail,
                          command_list& out) const {
    out.emplace_back(log_command{
        event, "service=" + goal_.service.text() +
                   " version=" + std::to_string(goal_.target) + detail});
}

} // namespace savorydock
