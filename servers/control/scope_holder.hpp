#pragma once

#include "core/service_document.hpp"
#include "core/state_chart.hpp"
#include "servers/control/order_options.hpp"
#include "servers/control/order_track.hpp"
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

/// Orders the upstreams of one scope, a service or a zone's part of one,
/// while this instance holds it. Not thread safe: control thread only.
class scope_holder {
public:
    /// Precondition: the chart passes `order_track::check_chart` and outlives
    /// the holder.
    scope_holder(const state_chart& chart, const order_options& options)
        : chart_(&chart)
        , options_(options) {}

    /// Takes a service's document; with a zone, only its upstreams there.
    void configure(const service_document& document,
                   const std::optional<availability_zone>& zone,
                   steady_time now, command_list& out);

    /// This instance became the holder, with `fencing`; `is_new` if it has
    /// not held any scope under that number before.
    void take_over(fencing_number fencing, bool is_new, steady_time now);
    /// It no longer is.
    void drop();

    [[nodiscard]] bool is_held() const { return fencing_ != 0; }
    [[nodiscard]] fencing_number fencing() const { return fencing_; }

    /// Reads back and orders what is due. No order may be handed to the
    /// socket after `valid_until`. `states` may be null.
    void on_tick(steady_time now, steady_time valid_until,
                 const upstream_state_map* states, std::uint64_t& tickets,
                 command_list& out);

    /// Returns true if the reply was to a call of this holder.
    bool on_order_reply(const order_reply& reply, steady_time now,
                        command_list& out);
    void observe(const upstream_observation& observation, steady_time now);

    /// With `is_ordering` false the state is read back, but nobody ordered.
    void set_ordering(bool is_ordering) { is_ordering_ = is_ordering; }
    [[nodiscard]] bool has_order_in_flight() const;

    [[nodiscard]] const rollout_planner& planner() const { return planner_; }
    [[nodiscard]] const std::map<upstream_id, order_track>& tracks() const {
        return tracks_;
    }
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    [[nodiscard]] order_track make_track(const upstream_rule& rule,
                                         bool is_fenced, steady_time now) const;
    void read_back(order_track& track, steady_time now, steady_time valid_until,
                   std::uint64_t& tickets, command_list& out);
    void give_order(order_track& track, steady_time now,
                    steady_time valid_until, std::uint64_t& tickets,
                    command_list& out);
    void collect(const upstream_state_map* states);
    void take_result(order_result result, const upstream_id& upstream,
                     weight_version version, steady_time now,
                     command_list& out);
    [[nodiscard]] std::string detail_of(const upstream_id& upstream,
                                        weight_version version) const;

    const state_chart* chart_;
    order_options options_;
    service_name service_;
    fencing_number fencing_ = 0;
    bool is_ordering_ = true;
    rollout_planner planner_;
    std::map<upstream_id, order_track> tracks_;
    std::unordered_map<std::uint64_t, upstream_id> tickets_;
    /// Rebuilt on every tick; kept for its memory.
    std::vector<rollout_upstream> seen_;
    std::vector<order_track*> seen_tracks_;
    std::uint64_t calls_ = 0;
};

} // namespace savorydock
