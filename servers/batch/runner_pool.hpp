#pragma once

#include "core/clock.hpp"
#include "servers/batch/item_planner.hpp"
#include "servers/feed/node_directory.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace savorydock {

struct runner_pool_options {
    instance_id self;
    /// Runs that one processor core can handle besides other work. A run has
    /// about 28 events per second that take about 50 microseconds each, and
    /// runs should use less than a third of a machine.
    double runs_per_core = 220;
    /// Share of its own capacity that the planner's instance uses for runs. It
    /// also lists the results of all other instances.
    double own_share = 0.5;
    /// An instance near the engine is chosen only while its load is at most
    /// this share of its capacity, so that the loss of one machine affects few
    /// runs.
    double near_share = 0.5;
    /// Instances of a zone are chosen as near only if their processor share is
    /// at least this fraction of the largest one in the zone. A small instance
    /// would spend much of its processor on each stream.
    double near_min_size = 0.5;
    /// A runner that has runs and sends no message for this long is considered
    /// lost.
    std::chrono::milliseconds silence_timeout{1'500};
    /// A lost runner gets no runs until it is heard from again, or for this
    /// long at most.
    std::chrono::milliseconds lost_runner_pause{30'000};
};

/// Preferred location of the instance that handles a run.
struct runner_preference {
    /// The zone of the run's engine.
    availability_zone zone;
    upstream_id upstream;
};

/// Chooses the instance that runs an item (the runner) and tracks which runs
/// each instance has.
///
/// Load pattern: one planner, possibly on the smallest machine of the fleet,
/// starts hundreds of concurrent streams. Runs are distributed by processor
/// share: a few stay on the planner's instance, many are distributed.
///
/// Runs of one engine go to the same instance in the engine's zone as long as
/// it has capacity. This reuses connections and keeps the traffic within the
/// zone, and the runs survive the loss of a planner on another instance.
///
/// Not thread safe; deterministic.
class runner_pool {
public:
    explicit runner_pool(runner_pool_options options);

    /// Chooses a runner for a ticket and records the assignment.
    instance_id
    assign(run_ticket ticket, const node_directory& directory, steady_time now,
           const std::optional<runner_preference>& preference = std::nullopt);

    /// Records that a runner has a ticket that `assign` didn't give it.
    void adopt(run_ticket ticket, const instance_id& runner, steady_time now);

    /// Returns the runner of a ticket, or an empty id.
    [[nodiscard]] instance_id runner_of(run_ticket ticket) const;

    /// Removes the assignment of a ticket.
    void on_ended(run_ticket ticket);

    /// A runner reported its active tickets. Returns the tickets assigned to it
    /// that are missing there, except those that it may not have received yet.
    [[nodiscard]] std::vector<run_ticket>
    on_runner_update(const instance_id& runner,
                     const std::set<run_ticket>& active, steady_time now);

    /// A runner reported all tickets that it has. Removes and returns the
    /// tickets that it had been assigned before `assigned_before` and lacks.
    [[nodiscard]] std::vector<run_ticket>
    take_missing_runs(const instance_id& runner,
                      const std::set<run_ticket>& reported,
                      steady_time assigned_before);

    /// Removes and returns the tickets of lost runners, which get no new runs
    /// until they are heard from again.
    [[nodiscard]] std::vector<run_ticket> take_lost_runs(steady_time now);

    /// A message of the instance arrived, so it may get runs again.
    void on_heard(const instance_id& runner) { not_before_.erase(runner); }

    /// Returns the lost runners, which should be probed.
    [[nodiscard]] std::vector<instance_id> lost_runners(steady_time now) const;

    [[nodiscard]] std::size_t assigned() const { return assignments_.size(); }

    /// Returns the instances that have runs, without this one.
    [[nodiscard]] std::vector<instance_id> busy_runners() const;

private:
    struct assignment {
        instance_id runner;
        steady_time assigned_at;
    };

    [[nodiscard]] bool is_paused(const instance_id& instance,
                                 steady_time now) const;
    /// Load of an instance with one more run, as a share of its capacity.
    [[nodiscard]] double load_with_one_more(const node_entry& entry) const;
    [[nodiscard]] std::optional<instance_id>
    choose_near(const node_directory& directory,
                const runner_preference& preference, steady_time now) const;
    [[nodiscard]] instance_id
    choose_least_loaded(const node_directory& directory, steady_time now) const;

    runner_pool_options options_;
    std::map<run_ticket, assignment> assignments_;
    /// Number of runs of each instance.
    std::map<instance_id, std::size_t> loads_;
    /// Time of each runner's last message, or of its first assignment after it
    /// had no runs.
    std::map<instance_id, steady_time> heard_at_;
    /// End of the pause of each lost runner.
    std::map<instance_id, steady_time> not_before_;
};

} // namespace savorydock
