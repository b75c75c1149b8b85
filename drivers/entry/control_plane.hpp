#pragma once

#include "core/instance_settings.hpp"
#include "core/random_source.hpp"
#include "drivers/caf_runtime/control_runtime.hpp"
#include "drivers/entry/entry_charts.hpp"
#include "drivers/entry/entry_executor.hpp"
#include "drivers/entry/rendezvous_candidates.hpp"
#include "servers/configuration/configuration_server.hpp"
#include "servers/control/order_server.hpp"
#include "servers/delivery/delivery_server.hpp"
#include "servers/explain/explain_server.hpp"
#include "servers/limits/limit_server.hpp"
#include "servers/membership/membership_server.hpp"
#include "servers/routing/upstream_router.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace savorydock {

struct control_plane_options {
    const instance_settings& settings;
    const entry_charts& charts;
    const decision_log& decisions;
    random_source& random;
    upstream_router& router;
    entry_executor& executor;
    key_ledger& keys;
    delivery_port& port;
    std::shared_ptr<rate_limiter> limiter;
    /// Identifies this run of the process; differs after each restart.
    std::string boot;
    /// Called on the control thread with each new configuration view.
    std::function<void(std::shared_ptr<const configuration_view>)> on_view;
};

/// All control servers of an instance and the exchange of state between them.
/// All methods except the constructor and `attach` must run on the control
/// thread.
class control_plane {
public:
    /// Everything that the options refer to must outlive this object.
    explicit control_plane(const control_plane_options& options);

    /// Adds the servers to a runtime. Precondition: the runtime is not started.
    void attach(control_runtime& runtime);

    /// Passes changed members, upstream states and configuration to the other
    /// servers and the router. Call it after each tick.
    void share(steady_time now, command_list& out);

    /// Returns counters of the messages, bytes and calls that the control
    /// servers have used, in the Prometheus text format.
    [[nodiscard]] std::string write_counters() const;

    /// Announces to the other instances that this one is leaving and starts to
    /// drain its orders.
    void begin_drain();

    [[nodiscard]] configuration_server& configuration() {
        return configuration_;
    }
    [[nodiscard]] membership_server& membership() { return membership_; }
    [[nodiscard]] order_server& orders() { return orders_; }
    [[nodiscard]] delivery_server& delivery() { return delivery_; }
    [[nodiscard]] explain_server& explanations() { return explanations_; }

private:
    void share_members(steady_time now);
    void share_upstreams(steady_time now);

    const instance_settings& settings_;
    upstream_router& router_;
    entry_executor& executor_;
    configuration_server configuration_;
    membership_server membership_;
    rendezvous_candidates candidates_;
    order_server orders_;
    limit_server limits_;
    delivery_server delivery_;
    explain_server explanations_;
    std::vector<member_record> shared_members_;
    std::shared_ptr<const upstream_state_map> shared_states_;
    std::shared_ptr<const configuration_view> shared_view_;
    steady_time next_router_refresh_{};
};

} // namespace savorydock
