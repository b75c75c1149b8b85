#pragma once

#include "servers/batch/item_planner.hpp"
#include "servers/versions/version_rollout.hpp"

#include <optional>

namespace savorydock {

/// Commands that result from one step of `engine_control`.
struct engine_commands {
    planner_commands planner;
    version_rollout_commands rollout;

    [[nodiscard]] bool is_empty() const {
        return planner.empty() && rollout.orders.empty() &&
               rollout.load_report_requests.empty();
    }
};

/// Control of one engine service. Connects its item planner with its version
/// roll-out: the planner avoids engines that load weights, and the roll-out
/// sees which runs and versions the planner needs.
///
/// Not thread safe; deterministic.
class engine_control {
public:
    /// `first_ticket` as for `item_planner`.
    engine_control(item_planner_options planner, run_ticket first_ticket,
                   version_rollout_options rollout);
    engine_control(const engine_control&) = delete;
    engine_control& operator=(const engine_control&) = delete;

    [[nodiscard]] item_planner& planner() { return planner_; }
    [[nodiscard]] version_rollout& rollout() { return rollout_; }

    /// `delays` as for `version_rollout`.
    void on_term(std::optional<fencing_number> term, order_delays delays,
                 steady_time now, engine_commands& out);
    void on_upstreams(const std::vector<upstream_entry>& upstreams,
                      const engine_settings& settings, steady_time now,
                      engine_commands& out);

    /// Runs all due work of the roll-out and the planner. Must be called after
    /// each input to `planner()` or `rollout()`.
    void advance(steady_time now, engine_commands& out);

    [[nodiscard]] std::optional<steady_time> next_wakeup() const;

private:
    /// Gives the roll-out access to the planner's work on the engines.
    class planner_work final : public engine_workload {
    public:
        explicit planner_work(const item_planner& planner)
            : planner_(planner) {}

        std::size_t runs_on(const upstream_id& upstream,
                            const std::string& model) const override {
            return planner_.runs_on(upstream, model);
        }
        weight_version
        min_allowed_version(const std::string& model) const override {
            return planner_.min_allowed_version(model);
        }
        bool has_waiting(const std::string& model) const override {
            return planner_.has_waiting(model);
        }

    private:
        const item_planner& planner_;
    };

    item_planner planner_;
    planner_work work_;
    version_rollout rollout_;
};

} // namespace savorydock
