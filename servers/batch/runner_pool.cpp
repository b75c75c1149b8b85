#include "servers/batch/runner_pool.hpp"

#include "servers/membership/stable_hash.hpp"

#include <algorithm>
#include <limits>

namespace savorydock {

runner_pool::runner_pool(runner_pool_options options)
    : options_(std::move(options)) {}

bool runner_pool::is_paused(const instance_id& instance,
                            steady_time now) const {
    const auto pause = not_before_.find(instance);
    return pause != not_before_.end() && pause->second > now;
}

double runner_pool::load_with_one_more(const node_entry& entry) const {
    const double capacity =
        options_.runs_per_core * std::max(entry.processor_share, 0.01) *
        (entry.instance == options_.self ? options_.own_share : 1.0);
    const auto load = loads_.find(entry.instance);
    const std::size_t runs = load == loads_.end() ? 0 : load->second;
    return static_cast<double>(runs + 1) / capacity;
}

std::optional<instance_id>
runner_pool::choose_near(const node_directory& directory,
                         const runner_preference& preference,
                         steady_time now) const {
    double largest = 0;
    for (const auto& [instance, entry] : directory) {
        if (entry.zone == preference.zone) {
            largest = std::max(largest, entry.processor_share);
        }
    }
    std::optional<instance_id> best;
    std::uint64_t best_rank = 0;
    for (const auto& [instance, entry] : directory) {
        if (entry.zone != preference.zone || entry.is_leaving ||
            is_paused(instance, now) ||
            entry.processor_share < options_.near_min_size * largest ||
            load_with_one_more(entry) > options_.near_share) {
            continue;
        }
        const std::uint64_t rank = stable_hash(
            instance.text(), stable_hash(preference.upstream.text()));
        if (!best || rank > best_rank) {
            best = instance;
            best_rank = rank;
        }
    }
    return best;
}

instance_id runner_pool::choose_least_loaded(const node_directory& directory,
                                             steady_time now) const {
    instance_id best = options_.self;
    double best_load = std::numeric_limits<double>::max();
    for (const auto& [instance, entry] : directory) {
        if (entry.is_leaving || is_paused(instance, now)) {
            continue;
        }
        const double load = load_with_one_more(entry);
        // Local runs need no messages, so this instance is preferred while it
        // has room.
        const bool is_free = instance == options_.self && load <= 1;
        const double cost = is_free ? 0 : load;
        if (cost < best_load) {
            best = instance;
            best_load = cost;
        }
    }
    return best;
}

instance_id
runner_pool::assign(run_ticket ticket, const node_directory& directory,
                    steady_time now,
                    const std::optional<runner_preference>& preference) {
    std::optional<instance_id> near;
    if (preference) {
        near = choose_near(directory, *preference, now);
    }
    instance_id best = near ? *near : choose_least_loaded(directory, now);
    adopt(ticket, best, now);
    return best;
}

void runner_pool::adopt(run_ticket ticket, const instance_id& runner,
                        steady_time now) {
    const bool is_new =
        assignments_
            .emplace(ticket, assignment{.runner = runner, .assigned_at = now})
            .second;
    if (is_new && ++loads_[runner] == 1) {
        heard_at_[runner] = now;
    }
}

instance_id runner_pool::runner_of(run_ticket ticket) const {
    const auto found = assignments_.find(ticket);
    return found == assignments_.end() ? instance_id() : found->second.runner;
}

void runner_pool::on_ended(run_ticket ticket) {
    const auto found = assignments_.find(ticket);
    if (found == assignments_.end()) {
        return;
    }
    --loads_[found->second.runner];
    assignments_.erase(found);
}

std::vector<run_ticket>
runner_pool::on_runner_update(const instance_id& runner,
                              const std::set<run_ticket>& active,
                              steady_time now) {
    heard_at_[runner] = now;
    std::vector<run_ticket> missing;
    for (const auto& [ticket, assigned] : assignments_) {
        if (assigned.runner == runner && !active.contains(ticket) &&
            now > assigned.assigned_at + options_.silence_timeout) {
            missing.push_back(ticket);
        }
    }
    return missing;
}

std::vector<run_ticket>
runner_pool::take_missing_runs(const instance_id& runner,
                               const std::set<run_ticket>& reported,
                               steady_time assigned_before) {
    std::vector<run_ticket> missing;
    for (const auto& [ticket, assigned] : assignments_) {
        if (assigned.runner == runner && !reported.contains(ticket) &&
            assigned.assigned_at < assigned_before) {
            missing.push_back(ticket);
        }
    }
    for (const run_ticket ticket : missing) {
        on_ended(ticket);
    }
    return missing;
}

std::vector<run_ticket> runner_pool::take_lost_runs(steady_time now) {
    std::vector<run_ticket> lost;
    for (const auto& [ticket, assigned] : assignments_) {
        if (assigned.runner != options_.self &&
            now > std::max(heard_at_[assigned.runner], assigned.assigned_at) +
                      options_.silence_timeout) {
            lost.push_back(ticket);
            not_before_[assigned.runner] = now + options_.lost_runner_pause;
        }
    }
    for (const run_ticket ticket : lost) {
        on_ended(ticket);
    }
    return lost;
}

std::vector<instance_id> runner_pool::lost_runners(steady_time now) const {
    std::vector<instance_id> lost;
    for (const auto& [runner, until] : not_before_) {
        if (until > now) {
            lost.push_back(runner);
        }
    }
    return lost;
}

std::vector<instance_id> runner_pool::busy_runners() const {
    std::vector<instance_id> busy;
    for (const auto& [runner, load] : loads_) {
        if (load > 0 && runner != options_.self) {
            busy.push_back(runner);
        }
    }
    return busy;
}

} // namespace savorydock
