#pragma once

#include "core/call_trace.hpp"
#include "core/logger.hpp"
#include "core/outcome.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <chrono>
#include <string_view>

namespace savorydock {

/// Observes one attempt at an upstream for the log and the metrics. Used on the
/// traffic thread only; all references must outlive the attempt.
class attempt_log {
public:
    /// `use` names the kind of call, `id` the request, item or model.
    attempt_log(fleet_state& fleet, logger& log, std::string_view use,
                std::string_view id, const upstream_id& upstream);

    /// To be passed to the client as the call's trace.
    [[nodiscard]] call_trace* trace() { return &trace_; }

    /// The upstream's answer began. Counted once.
    void on_answered();

    /// The attempt failed. Logs one line, unless too many are logged already.
    void on_failed(const failure& reason);

private:
    [[nodiscard]] bool is_kept() const;

    fleet_state& fleet_;
    logger& log_;
    std::string_view use_;
    std::string_view id_;
    const upstream_id& upstream_;
    call_trace trace_;
    steady_time started_at_;
    bool is_counted_ = false;
};

} // namespace savorydock
