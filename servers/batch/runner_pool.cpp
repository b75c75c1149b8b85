#include "servers/batch/runner_pool.hpp"

#include <algorithm>
#include <limits>

namespace savorydock {

namespace {

/// A runner that fell silent is left alone for so many times the silence.
constexpr int pause_in_silences = 3;

} // namespace

runner_pool::runner_pool(runner_pool_options options)
    : options_(std::move(options)) {}

instance_id runner_pool::assign(run_ticket ticket,
                                const node_directory& directory,
                                steady_time now) {
    instance_id best = options_.self;
    double best_load = std::numeric_limits<double>::max();
    for (const auto& [instance, entry] : directory) {
        const auto pause = not_before_.find(instance);
        if (pause != not_before_.end() && pause->second > now) {
            continue;
        }
        const bool is_self = instance == options_.self;
        const double capacity = options_.runs_per_core *
                                std::max(entry.processor_share, 0.01) *
                                (is_self ? options_.own_share : 1.0);
        const double load =
            static_cast<double>(loads_[instance] + 1) / capacity;
        // Runs stay here as long as there is room: no message is cheaper.
        const double cost = is_self && load <= 1 ? 0 : load;
        if (cost < best_load) {
            best = instance;
            best_load = cost;
        }
    }
    assignments_[ticket] = {.runner = best, .assigned_at = now};
    if (++loads_[best] == 1) {
        heard_at_[best] = now;
    }
    return best;
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

std::vector<run_ticket> runner_pool::on_news(const instance_id& runner,
                                             const std::set<run_ticket>& active,
                                             steady_time now) {
    heard_at_[runner] = now;
    std::vector<run_ticket> missing;
    for (const auto& [ticket, assigned] : assignments_) {
        if (assigned.runner == runner && !active.contains(ticket) &&
            now > assigned.assigned_at + options_.silence) {
            missing.push_back(ticket);
        }
    }
    return missing;
}

std::vector<run_ticket> runner_pool::take_lost(steady_time now) {
    std::vector<run_ticket> lost;
    for (const auto& [ticket, assigned] : assignments_) {
        if (assigned.runner != options_.self &&
            now > std::max(heard_at_[assigned.runner], assigned.assigned_at) +
                      options_.silence) {
            lost.push_back(ticket);
            not_before_[assigned.runner] =
                now + options_.silence * pause_in_silences;
        }
    }
    for (const run_ticket ticket : lost) {
        on_ended(ticket);
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
