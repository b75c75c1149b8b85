#pragma once

#include "servers/control_server.hpp"
#include "servers/weights/rollout_goal.hpp"
#include "servers/weights/rollout_health.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorydock {

/// Decides which upstreams of one scope are moved to the target version next.
///
/// Versions are not queued: a new target replaces the previous one, and a
/// version whose roll-out is not finished by then is skipped. Not thread safe:
/// control thread only.
class rollout_planner {
public:
    explicit rollout_planner(rollout_options options = {});

    /// Sets the goal from the service document. A changed target starts a new
    /// roll-out, even if the previous one was stopped. If the previous one was
    /// not finished, its version is logged as skipped.
    void set_goal(const rollout_goal& goal, command_list& out);

    /// Returns the indices of the upstreams to move to the target now, most
    /// urgent first. The caller must send orders to them, or call
    /// `swap_failed`.
    [[nodiscard]] std::vector<std::size_t>
    plan(std::span<const rollout_upstream> upstreams, steady_time now,
         command_list& out);

    /// Records that the upstream runs `version` after an order.
    void swap_done(const upstream_id& upstream, weight_version version,
                   steady_time now);
    void swap_failed(const upstream_id& upstream, swap_failure why,
                     steady_time now, command_list& out);
    /// Records the evidence from a request to an upstream of this scope.
    /// Precondition: no order to it is in flight.
    void observe(const upstream_id& upstream, upstream_evidence evidence,
                 steady_time now);

    /// Resumes a stopped roll-out, on the request of an operator.
    void resume();

    [[nodiscard]] const rollout_goal& goal() const { return goal_; }
    [[nodiscard]] bool is_stopped() const { return !stop_reason_.empty(); }
    [[nodiscard]] const std::string& stop_reason() const {
        return stop_reason_;
    }
    [[nodiscard]] bool is_left_out(const upstream_id& upstream) const;
    /// Whether an upstream at `version` must be moved to the target.
    [[nodiscard]] bool needs_order(weight_version version) const;

private:
    struct attempt_record {
        std::uint32_t attempts = 0;
        std::uint32_t backoffs = 0;
        steady_time not_before{};
    };
    /// The numbers from which the wave size is computed.
    struct upstream_counts {
        std::size_t serving = 0;
        std::size_t ordered = 0;
        std::size_t pending = 0;
        double busy = 0;
    };

    [[nodiscard]] upstream_counts
    count(std::span<const rollout_upstream> upstreams) const;
    [[nodiscard]] std::size_t wave_capacity(const upstream_counts& counts,
                                            std::size_t total) const;
    [[nodiscard]] std::size_t store_capacity(std::size_t ordered) const;
    [[nodiscard]] double urgency(const rollout_upstream& upstream) const;
    [[nodiscard]] bool is_candidate(const rollout_upstream& upstream,
                                    steady_time now) const;
    void check_health(std::span<const rollout_upstream> upstreams,
                      steady_time now, command_list& out);
    void finish_if_done(const upstream_counts& counts, command_list& out);
    void log(log_event event, const std::string& detail,
             command_list& out) const;

    rollout_options options_;
    rollout_goal goal_;
    rollout_health health_;
    std::unordered_map<upstream_id, attempt_record> attempts_;
    std::string stop_reason_;
    bool is_finished_ = true;
    /// The current estimate of how many concurrent swaps the weight store can
    /// serve; 0: no limit observed.
    std::size_t store_limit_ = 0;
    std::size_t last_ordered_ = 0;
};

} // namespace savorydock
