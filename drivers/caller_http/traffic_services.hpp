#pragma once

#include "core/ids.hpp"
#include "core/logger.hpp"
#include "core/metrics_registry.hpp"
#include "drivers/caller_http/retry_budgets.hpp"
#include "drivers/upstream_http/upstream_client.hpp"
#include "servers/configuration/configuration_view.hpp"
#include "servers/control_server.hpp"
#include "servers/delivery/delivery_port.hpp"
#include "servers/delivery/key_ledger.hpp"
#include "servers/delivery/step_charts.hpp"
#include "servers/explain/decision_log.hpp"
#include "servers/limits/rate_limiter.hpp"
#include "servers/routing/upstream_router.hpp"
#include "servers/step_schedule/length_estimator.hpp"
#include "servers/step_schedule/weights_forecast.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savorydock {

class admission_gate;

/// Statistics that one traffic thread has gathered from the steps of one
/// service.
struct step_statistics {
    length_estimator lengths;
    weights_forecast forecast;
};

/// The objects that the traffic threads of one instance share. Every member is
/// either thread safe or a list with one element per traffic thread, each used
/// by that thread only.
struct traffic_services {
    instance_id instance;
    upstream_router& router;
    admission_gate& gate;
    key_ledger& keys;
    delivery_port& delivery;
    retry_budgets& budgets;
    decision_log& decisions;
    const rate_limiter& limiter;
    metrics_registry& metrics;
    logger& log;
    std::shared_ptr<const step_charts> charts;
    const state_chart& request_chart;
    /// Reports to control how an upstream behaved in a call.
    std::function<void(upstream_observation)> observe;
    /// The I/O context of each traffic thread.
    std::vector<std::reference_wrapper<boost::asio::io_context>> contexts;
    /// Step statistics by traffic thread and service.
    std::vector<std::map<service_name, step_statistics>> statistics;
    /// One client per traffic thread.
    std::vector<std::unique_ptr<upstream_client>> clients;

    std::atomic<std::shared_ptr<const configuration_view>> configuration;
    std::atomic<bool> is_draining{false};
    /// Number of events that the state chart of a request did not allow.
    std::atomic<std::uint64_t> chart_violations{0};
    /// When steps that still run are ended early, so that their trainers
    /// reconnect to another instance.
    std::atomic<steady_time> hand_off_at{steady_time::max()};
    std::atomic<std::uint64_t> next_request{1};
    /// Part of generated request ids; distinguishes the successive processes of
    /// one instance.
    std::string incarnation;
};

} // namespace savorydock
