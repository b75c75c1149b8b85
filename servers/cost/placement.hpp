#pragma once

#include "core/random_source.hpp"
#include "servers/cost/cost_estimator.hpp"
#include "servers/cost/upstream_work.hpp"
#include "servers/fleet/call_outcome.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace savorydock {

struct placement_options {
    cost_estimator_options estimator;
    upstream_work_options work;
    /// How many candidates are drawn at random and compared; 0 for all.
    std::size_t choices = 0;
    /// What reported work counts relative to own work.
    double report_weight = 0;
    /// Large calls count this much more for each other.
    double large_spread = 1;
    /// Candidates whose completion is expected within this fraction of the
    /// call's cost above the best count as equal.
    double tie_width = 0.05;
    /// A slow upstream gets a cheap call if it had none for this time.
    std::chrono::milliseconds probe_interval{1'000};
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
};

} // namespace savorydock
