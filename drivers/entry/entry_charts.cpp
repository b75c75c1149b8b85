#include "drivers/entry/entry_charts.hpp"

#include "drivers/caller_http/request_lifecycle.hpp"
#include "servers/control/order_tracker.hpp"
#include "servers/membership/upstream_health.hpp"

namespace savorydock {

outcome<entry_charts> entry_charts::load(const std::string& folder) {
    auto step = step_charts::load(folder);
    if (!step) {
        return step.reason();
    }
    auto upstream = state_chart::load(folder + "/upstream_life.json");
    if (!upstream) {
        return upstream.reason();
    }
    auto order = state_chart::load(folder + "/order_life.json");
    if (!order) {
        return order.reason();
    }
    auto request = state_chart::load(folder + "/request_life.json");
    if (!request) {
        return request.reason();
    }
    for (const auto& checked :
         {savorydock::request_lifecycle::check_chart(*request),
          upstream_health::check_chart(*upstream),
          order_tracker::check_chart(*order)}) {
        if (!checked) {
            return checked.reason();
        }
    }
    return entry_charts{
        .step = std::make_shared<const step_charts>(std::move(*step)),
        .upstream_life = std::move(*upstream),
        .order_life = std::move(*order),
        .request_life = std::move(*request),
    };
}

} // namespace savorydock
