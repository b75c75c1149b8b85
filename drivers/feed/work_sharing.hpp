#pragma once

#include "core/logger.hpp"
#include "drivers/peer/peer_transport.hpp"
#include "servers/cost/work_exchange.hpp"
#include "servers/feed/node_directory.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <cstddef>
#include <set>
#include <vector>

namespace savorydock {

/// Exchanges the work at upstreams between the instances of a zone: each sends
/// its sums to the feeder in reply to a heartbeat, and heartbeats carry the
/// sums of the zone. Sends nothing if calls aren't placed by cost, or if this
/// instance had no calls. Belongs to one traffic thread.
class work_sharing {
public:
    /// All references must outlive this object.
    work_sharing(fleet_state& fleet, peer_transport& peers,
                 const node_directory& directory, instance_id self,
                 logger& log);

    /// As the feeder: returns the sums for the next heartbeat.
    [[nodiscard]] std::vector<upstream_sum> zone_sums();

    /// As a follower: uses the sums of a heartbeat, and sends the own ones.
    void on_zone_sums(const std::vector<upstream_sum>& sums,
                      const instance_id& feeder);

    /// Handles a message of the topic `work_report`.
    void on_message(const peer_message& message);

private:
    /// Logs which upstreams have become slow or are no longer slow.
    void log_speeds(const placement& placed, steady_time now);

    fleet_state& fleet_;
    peer_transport& peers_;
    const node_directory& directory_;
    instance_id self_;
    logger& log_;
    work_exchange exchange_;
    /// What was last taken for a heartbeat.
    std::vector<upstream_sum> own_;
    steady_time sent_at_{};
    steady_time refusal_logged_at_{};
    std::set<upstream_id> slow_upstreams_;
    steady_time speeds_logged_since_{};
    std::size_t speeds_logged_ = 0;
};

} // namespace savorydock
