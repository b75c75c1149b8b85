#include "servers/batch/engine_control.hpp"

#include <algorithm>

namespace savorydock {

engine_control::engine_control(item_planner_options planner,
                               run_ticket first_ticket,
                               version_rollout_options rollout)
    : planner_(planner, first_ticket,
               [this](const upstream_id& upstream, const std::string& model,
                      steady_time now) {
                   return rollout_.is_loading(upstream, model, now);
               })
    , work_(planner_)
    , rollout_(std::move(rollout), work_) {}

void engine_control::on_term(std::optional<fencing_number> term,
                             order_delays delays, steady_time now,
                             engine_commands& out) {
    rollout_.on_term(term, std::move(delays));
    planner_.on_term(term.has_value());
    advance(now, out);
}

void engine_control::on_upstreams(const std::vector<upstream_entry>& upstreams,
                                  const engine_settings& settings,
                                  steady_time now, engine_commands& out) {
    rollout_.on_upstreams(upstreams, now);
    planner_.on_upstreams(upstreams, settings, now);
    advance(now, out);
}

void engine_control::advance(steady_time now, engine_commands& out) {
    version_rollout_commands orders = rollout_.advance(now);
    for (const version_order& order : orders.orders) {
        planner_.on_loading(order.upstream, order.model, now, out.planner);
    }
    std::move(orders.orders.begin(), orders.orders.end(),
              std::back_inserter(out.rollout.orders));
    std::move(orders.load_report_requests.begin(),
              orders.load_report_requests.end(),
              std::back_inserter(out.rollout.load_report_requests));
    planner_.advance(now, out.planner);
}

std::optional<steady_time> engine_control::next_wakeup() const {
    const auto planner = planner_.next_wakeup();
    const auto rollout = rollout_.next_wakeup();
    if (planner && rollout) {
        return std::min(*planner, *rollout);
    }
    return planner ? planner : rollout;
}

} // namespace savorydock
