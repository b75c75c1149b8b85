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

/// What the steps of one service have taught a traffic thread.
struct step_knowledge {
    length_estimator lengths;
    weights_forecast forecast;
};

/// What the traffic threads of one instance share. Every member is thread
/// safe, or belongs to one traffic thread by its index.
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
    /// Tells control what traffic saw of an upstream.
    std::function<void(upstream_observation)> observe;
    /// The I/O context of each traffic thread.
    std::vector<std::reference_wrapper<boost::asio::io_context>> contexts;
    /// What each traffic thread has learnt of each service's samples.
    std::vector<std::map<service_name, step_knowledge>> knowledge;
    /// One client a traffic thread.
    std::vector<std::unique_ptr<upstream_client>> clients;

    std::atomic<std::shared_ptr<const configuration_view>> configuration;
    std::atomic<bool> is_draining{false};
    /// Events that a request's chart did not allow.
    std::atomic<std::uint64_t> chart_violations{0};
    /// When long streams end early so that their callers connect elsewhere.
    std::atomic<steady_time> hand_off_at{steady_time::max()};
    std::atomic<std::uint64_t> next_request{1};
    /// Makes request ids of successive processes distinct.
    std::string incarnation;
};

} // namespace savorydock
