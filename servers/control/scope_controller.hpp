#pragma once

#include "core/service_document.hpp"
#include "core/state_chart.hpp"
#include "servers/control/order_options.hpp"
#include "servers/control/order_tracker.hpp"
#include "servers/control_server.hpp"
#include "servers/routing/upstream_state.hpp"
#include "servers/weights/rollout_planner.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorydock {

/// Sends orders to the upstreams of one scope while this instance is its
/// holder. A scope is a service, or the part of a service in one zone. Not
/// thread safe: control thread only.
class scope_controller {
public:
    /// Precondition: the chart passes `order_tracker::check_chart` and outlives
    /// the controller.
    scope_controller(const state_chart& chart, const order_options& options)
        : chart_(&chart)
        , options_(options) {}

    /// Applies the document of a service. If a zone is given, only the
    /// upstreams in it belong to the scope.
    void configure(const service_document& document,
                   const std::optional<availability_zone>& zone,
                   steady_time now, command_list& out);

    /// This instance became the holder with the number `fencing`. `is_new` is
    /// true if this process has not held a scope with that number before.
    void take_over(fencing_number fencing, bool is_new, steady_time now);
    /// This instance is no longer the holder.
    void relinquish();

    [[nodiscard]] bool is_held() const { return fencing_ != 0; }
    [[nodiscard]] fencing_number fencing() const { return fencing_; }

    /// Sends the state reads and orders that are due. Nothing may be written
    /// to the socket after `valid_until`. `states` may be null.
    void on_tick(steady_time now, steady_time valid_until,
                 const upstream_state_map* states, std::uint64_t& tickets,
                 command_list& out);

    /// Returns true if the reply belongs to a call of this controller.
    bool on_order_reply(const order_reply& reply, steady_time now,
                        command_list& out);
    void observe(const upstream_observation& observation, steady_time now);

    /// If false, states are still read but no orders are sent.
    void set_ordering(bool is_ordering) { is_ordering_ = is_ordering; }
    [[nodiscard]] bool has_order_in_flight() const;

    [[nodiscard]] const rollout_planner& planner() const { return planner_; }
    [[nodiscard]] const std::map<upstream_id, order_tracker>& trackers() const {
        return trackers_;
    }
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    [[nodiscard]] order_tracker make_tracker(const upstream_rule& rule,
                                             bool is_fenced,
                                             steady_time now) const;
    void send_state_read(order_tracker& tracker, steady_time now,
                         steady_time valid_until, std::uint64_t& tickets,
                         command_list& out);
    void send_version_order(order_tracker& tracker, steady_time now,
                            steady_time valid_until, std::uint64_t& tickets,
                            command_list& out);
    void collect_upstreams(const upstream_state_map* states);
    void apply_order_result(order_result result, const upstream_id& upstream,
                            weight_version version, steady_time now,
                            command_list& out);
    [[nodiscard]] std::string log_detail(const upstream_id& upstream,
                                         weight_version version) const;

    const state_chart* chart_;
    order_options options_;
    service_name service_;
    fencing_number fencing_ = 0;
    bool is_ordering_ = true;
    rollout_planner planner_;
    std::map<upstream_id, order_tracker> trackers_;
    std::unordered_map<std::uint64_t, upstream_id> tickets_;
    /// Rebuilt on every tick; members only to reuse their memory.
    std::vector<rollout_upstream> planned_upstreams_;
    std::vector<order_tracker*> planned_trackers_;
    std::uint64_t calls_ = 0;
};

} // namespace savorydock
