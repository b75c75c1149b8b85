#include "drivers/front/leaving_notice.hpp"

namespace savorydock {

bool record_leaving(fleet_state& fleet, const upstream_id& upstream,
                    const endpoint& address,
                    const platform::upstream_answer_metadata& answer,
                    http_client& client, logger& log) {
    if (!answer.is_leaving || !fleet.pool.mark_leaving(upstream)) {
        return false;
    }
    client.drop_idle(address);
    log.write(log_event::upstream_leaving,
              "upstream=" + upstream.text() + " address=" + to_text(address) +
                  " source=answer request=" + answer.request);
    fleet.on_leaving();
    return true;
}

} // namespace savorydock
