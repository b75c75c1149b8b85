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

/// Decides which upstreams of one scope to order to the target version next.
///
/// Versions that overtake each other are skipped, not queued: only the newest
/// target counts. Not thread safe: control thread only.
class rollout_planner {
public:
    explicit rollout_planner(rollout_options options = {});

    /// Takes what the document asks for. A changed target starts over and
    /// ends a stop; the log says which version was skipped.
    void set_goal(const rollout_goal& goal, command_list& out);

    /// Returns the indices of the upstreams to order to the target now, the
    /// most urgent first. The caller must order them, or call `swap_failed`.
    [[nodiscard]] std::vector<std::size_t>
    plan(std::span<const rollout_upstream> upstreams, steady_time now,
         command_list& out);

    /// The upstream read back the version after an order.
    void swap_done(const upstream_id& upstream, weight_version version,
                   steady_time now);
    void swap_failed(const upstream_id& upstream, swap_failure why,
                     steady_time now, command_list& out);
    /// What traffic saw of an upstream of this scope. Precondition: no order
    /// to it is in flight.
    void observe(const upstream_id& upstream, upstream_evidence evidence,
                 steady_time now);

    /// Goes on with a stopped roll-out, by an operator's word.
    void resume();

    [[nodiscard]] const rollout_goal& goal() const { return goal_; }
    [[nodiscard]] bool is_stopped() const { return !stop_reason_.empty(); }
    [[nodiscard]] const std::string& stop_reason() const {
        return stop_reason_;
    }
    [[nodiscard]] bool is_left_out(const upstream_id& upstream) const;
    /// Whether the goal wants an upstream at `version` to be ordered.
    [[nodiscard]] bool needs_order(weight_version version) const;

private:
    struct attempt_record {
        std::uint32_t attempts = 0;
        std::uint32_t delays = 0;
        steady_time not_before{};
    };
    /// What the wave size is reckoned from.
    struct capacity {
        std::size_t serving = 0;
        std::size_t ordered = 0;
        std::size_t pending = 0;
        double busy = 0;
    };

    [[nodiscard]] capacity
    count(std::span<const rollout_upstream> upstreams) const;
    [[nodiscard]] std::size_t wave_room(const capacity& sums,
                                        std::size_t total) const;
    [[nodiscard]] std::size_t store_room(std::size_t ordered) const;
    [[nodiscard]] double urgency(const rollout_upstream& upstream) const;
    [[nodiscard]] bool is_candidate(const rollout_upstream& upstream,
                                    steady_time now) const;
    void judge_health(std::span<const rollout_upstream> upstreams,
                      steady_time now, command_list& out);
    void report_end(const capacity& sums, command_list& out);
    void log(log_event event, const std::string& detail,
             command_list& out) const;

    rollout_options options_;
    rollout_goal goal_;
    rollout_health health_;
    std::unordered_map<upstream_id, attempt_record> attempts_;
    std::string stop_reason_;
    bool is_finished_ = true;
    /// Swaps at once that the store has been seen to bear; 0: no limit seen.
    std::size_t store_width_ = 0;
    std::size_t last_ordered_ = 0;
};

} // namespace savorydock
