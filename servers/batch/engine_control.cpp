#include "servers/batch/engine_control.hpp"

#include <algorithm>

namespace savorydock {

engine_control::engine_control(item_planner_options planner,
                               run_ticket first_ticket,
                               version_roller_options roller)
    : planner_(planner, first_ticket,
               [this](const upstream_id& upstream, const std::string& model,
                      steady_time now) {
                   return roller_.is_loading(upstream, model, now);
               })
    , work_(planner_)
    , roller_(std::move(roller), work_) {}

void engine_control::on_term(std::optional<fencing_number> term,
                             steady_time now, engine_commands& out) {
    roller_.on_term(term);
    planner_.on_term(term.has_value());
    advance(now, out);
}

void engine_control::on_upstreams(const std::vector<upstream_entry>& upstreams,
                                  const engine_settings& settings,
                                  steady_time now, engine_commands& out) {
    roller_.on_upstreams(upstreams, now);
    planner_.on_upstreams(upstreams, settings, now);
    advance(now, out);
}

void engine_control::advance(steady_time now, engine_commands& out) {
    roller_commands orders = roller_.advance(now);
    for (const version_order& order : orders.orders) {
        planner_.on_loading(order.upstream, order.model, now, out.planner);
    }
    std::move(orders.orders.begin(), orders.orders.end(),
              std::back_inserter(out.roller.orders));
    std::move(orders.load_requests.begin(), orders.load_requests.end(),
              std::back_inserter(out.roller.load_requests));
    planner_.advance(now, out.planner);
}

std::optional<steady_time> engine_control::next_wakeup() const {
    const auto planner = planner_.next_wakeup();
    const auto roller = roller_.next_wakeup();
    if (planner && roller) {
        return std::min(*planner, *roller);
    }
    return planner ? planner : roller;
}

} // namespace savorydock
