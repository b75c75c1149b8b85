#pragma once

#include "drivers/batch/engine_driver.hpp"
#include "drivers/front/front_service.hpp"
#include "drivers/http/http_server.hpp"
#include "drivers/peer/peer_counters.hpp"
#include "drivers/store/store_client.hpp"
#include "drivers/tunnel/tunnel_server.hpp"
#include "servers/cost/placement.hpp"
#include "servers/fleet/attempt_counts.hpp"
#include "servers/fleet/view_age.hpp"

#include <map>
#include <optional>
#include <string>

namespace savorydock {

/// The values that an instance exports as metrics.
struct node_statistics {
    front_counters front;
    identity_counters identities;
    store_counters store;
    bool is_store_reachable = true;
    std::uint64_t configuration_version = 0;
    std::size_t upstreams = 0;
    std::size_t active_requests = 0;
    std::size_t connections = 0;
    http_server_counters callers;
    bool is_feeder = false;
    bool is_following = false;
    view_age view;
    peer_counters peers;
    bool is_isolated = false;
    tunnel_counters tunnels;
    std::uint64_t tunnels_used = 0;
    run_statistics runs;
    result_read_counters result_reads;
    attempt_counts attempts;
    /// Absent if calls aren't placed by cost.
    std::optional<placement_counters> placement;
    std::map<service_name, engine_statistics> engines;
};

/// Formats the values in the Prometheus text format. Thread safe.
[[nodiscard]] std::string write_node_metrics(const node_statistics& statistics);

} // namespace savorydock
