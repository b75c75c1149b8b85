#include "drivers/front/request_limit.hpp"

#include <chrono>
#include <string>

namespace savorydock {

void record_request_limit(fleet_state& fleet, const upstream_id& upstream,
                          const platform::upstream_answer_metadata& answer,
                          logger& log) {
    // A refusal without a limit doesn't lift the limit.
    if (answer.is_not_run && !answer.request_limit) {
        return;
    }
    const bool is_changed = fleet.pool.limits().on_answer(
        upstream, answer.request_limit, std::chrono::steady_clock::now());
    if (is_changed) {
        log.write(log_event::upstream_limit_changed,
                  "upstream=" + upstream.text() + " requests_per_second=" +
                      (answer.request_limit
                           ? std::to_string(*answer.request_limit)
                           : "unlimited"));
    }
}

} // namespace savorydock
