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
    /// Runs that a whole processor core carries beside other work: a run makes
    /// some 28 events a second at about 50 microseconds each (measured on
    /// surtitle-cues), and a machine should spend less than a third on them.
    double runs_per_core = 220;
    /// Share of its own capacity that the planner uses for runs; it lists the
    /// results of all others besides.
    double own_share = 0.5;
    /// An instance near the engine is chosen while it carries at most this
    /// share of its runs: one machine's loss should cost few of them.
    double near_share = 0.5;
    /// Instances of a zone count as near if their processor is at least so
    /// large, measured by the largest one's: a small one spends much of its
    /// share on each stream.
    double near_size = 0.5;
    /// A runner that says nothing for that long while it has runs is taken
    /// for lost.
    std::chrono::milliseconds silence{1'500};
};

/// Where a run would best be carried out.
struct runner_wish {
    /// The zone of its engine.
    availability_zone zone;
    upstream_id upstream;
};

/// Decides which instance runs an item.
///
/// Load pattern: hundreds of streams at once, started by one planner whose
/// machine may be the smallest of the fleet. Runs go to instances by what
/// their processors carry; a few runs stay with the planner, many spread.
///
/// Runs of one engine go to the same instance of the engine's zone as long as
/// it has room: their connections are used again, their bytes stay in the zone,
/// and they outlive a planner elsewhere.
///
/// Not thread safe; deterministic.
class runner_pool {
public:
    explicit runner_pool(runner_pool_options options);

    /// Chooses a runner for a ticket and remembers it.
    instance_id assign(run_ticket ticket, const node_directory& directory,
                       steady_time now,
                       const std::optional<runner_wish>& wish = std::nullopt);

    /// A runner has a ticket that another planner or choice gave it.
    void adopt(run_ticket ticket, const instance_id& runner, steady_time now);

    /// The runner of a ticket, or an empty id.
    [[nodiscard]] instance_id runner_of(run_ticket ticket) const;

    void on_ended(run_ticket ticket);

    /// A runner told of the tickets that it has. Returns those of its tickets
    /// that it lacks although it must have got them.
    [[nodiscard]] std::vector<run_ticket>
    on_news(const instance_id& runner, const std::set<run_ticket>& active,
            steady_time now);

    /// Tickets of runners that fell silent.
    [[nodiscard]] std::vector<run_ticket> take_lost(steady_time now);

    [[nodiscard]] std::size_t assigned() const { return assignments_.size(); }

    /// Other instances that have runs.
    [[nodiscard]] std::vector<instance_id> busy_runners() const;

private:
    struct assignment {
        instance_id runner;
        steady_time assigned_at;
    };

    [[nodiscard]] bool is_paused(const instance_id& instance,
                                 steady_time now) const;
    /// Share of its runs that an instance would carry with one more.
    [[nodiscard]] double load_with_one_more(const node_entry& entry) const;
    [[nodiscard]] std::optional<instance_id>
    choose_near(const node_directory& directory, const runner_wish& wish,
                steady_time now) const;
    [[nodiscard]] instance_id
    choose_least_loaded(const node_directory& directory, steady_time now) const;

    runner_pool_options options_;
    std::map<run_ticket, assignment> assignments_;
    std::map<instance_id, std::size_t> loads_;
    std::map<instance_id, steady_time> heard_at_;
    /// Runners that fell silent get nothing until then.
    std::map<instance_id, steady_time> not_before_;
};

} // namespace savorydock
