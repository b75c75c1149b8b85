#pragma once

#include "core/random_source.hpp"
#include "servers/cost/cost_estimator.hpp"
#include "servers/cost/upstream_work.hpp"
#include "servers/fleet/call_outcome.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace savorydock {

struct placement_options {
    cost_estimator_options estimator;
    upstream_work_options work;
    /// How many candidates are drawn at random and compared; 0 for all.
    std::size_t choices = 0;
    /// What reported work counts relative to own work. Reports are older than
    /// most calls take: with higher weights all instances of a zone move their
    /// calls at once, and answers take longer than without reports.
    double report_weight = 0.1;
    /// Large calls count this much more for each other.
    double large_spread = 1;
    /// Candidates whose completion is expected within this fraction of the
    /// call's cost above the best count as equal.
    double tie_width = 0.05;
    /// A slow upstream gets a cheap call if it had none for this time.
    std::chrono::milliseconds probe_interval{1'000};
    /// Calls that cost more aren't used as probes, like streams of seconds.
    std::chrono::milliseconds max_probe_cost{100};
    /// Instances with different seeds spread equal choices differently.
    std::uint64_t seed = 1;
};

/// An upstream that may run a call.
struct placement_candidate {
    /// Must stay valid during the call.
    const upstream_id& upstream;
    std::uint32_t slots = 1;
    /// Added to the time on the upstream: the path to it, and the wait until
    /// its request limit allows the call.
    std::chrono::microseconds path{0};
};

/// What a placement has done since the start.
struct placement_counters {
    /// Answered calls: their number, estimates and times, and those whose time
    /// was within a factor of 1.5 of the estimate.
    std::uint64_t answered = 0;
    double expected_seconds = 0;
    double measured_seconds = 0;
    std::uint64_t estimated_closely = 0;
    /// Small calls sent to slow upstreams to notice that they recover.
    std::uint64_t probes = 0;
    /// Choices for which reports of other instances were known.
    std::uint64_t with_reports = 0;
    /// Calls by upstream, of those listed now.
    std::map<upstream_id, std::uint64_t> calls;
};

/// Chooses upstreams by the cost of the calls and the work left at each.
///
/// Load pattern: calls of 25 ms and of 200 ms on the same upstreams, one in a
/// hundred takes five times as long, upstreams of different and changing speed,
/// bursts, and many instances that each know only their own calls.
///
/// Not thread safe; deterministic for a seed.
class placement {
public:
    explicit placement(placement_options options);

    [[nodiscard]] cost_estimator& estimator() { return estimator_; }
    [[nodiscard]] const cost_estimator& estimator() const { return estimator_; }
    [[nodiscard]] upstream_work& work() { return work_; }
    [[nodiscard]] const upstream_work& work() const { return work_; }

    [[nodiscard]] const placement_counters& counters() const {
        return counters_;
    }

    /// Forgets all other upstreams.
    void retain(const std::set<upstream_id>& upstreams);

    /// Returns the index of the candidate with the shortest expected time to
    /// completion. Precondition: there is a candidate.
    [[nodiscard]] std::size_t
    choose(const std::vector<placement_candidate>& candidates,
           const call_cost& cost, steady_time now);

    /// Returns the call's number for `on_ended`.
    std::uint64_t on_started(const upstream_id& upstream, const call_cost& cost,
                             steady_time now);
    void on_ended(const upstream_id& upstream, const call_cost& cost,
                  std::uint64_t call, call_outcome end,
                  std::chrono::microseconds time, steady_time now);

private:
    [[nodiscard]] double completion(const placement_candidate& candidate,
                                    const call_cost& cost,
                                    steady_time now) const;
    [[nodiscard]] bool must_probe(const placement_candidate& candidate,
                                  const call_cost& cost, steady_time now) const;

    placement_options options_;
    cost_estimator estimator_;
    upstream_work work_;
    seeded_random_source random_;
    placement_counters counters_;
};

} // namespace savorydock
