#pragma once

#include "drivers/duties/duty_caller.hpp"
#include "drivers/duties/usage_reporter.hpp"
#include "drivers/duties/worker_scaler.hpp"
#include "servers/feed/key_copy.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace savorydock {

/// Returns the holder of a scope as a copy of the control keys shows it. Thread
/// safe.
[[nodiscard]] duty_holder find_scope_holder(const key_copy& control_keys,
                                            std::string_view scope);

/// Performs the deployment's duties towards the platform: one instance at a
/// time, the holder of a term, makes the calls, and the others send it what it
/// needs.
///
/// Not thread safe: all calls must come from one traffic thread.
class duty_driver {
public:
    /// All references must outlive `context`. Sets `fleet.on_run_began` if
    /// usage is reported. Precondition: `settings.duties` is present.
    duty_driver(boost::asio::io_context& context, store_client& store,
                peer_transport& peers, const node_directory& directory,
                fleet_state& fleet, scope_term& term,
                std::function<duty_holder()> find_holder,
                const node_settings& settings, std::uint64_t seed, logger& log);

    /// Precondition: called once.
    void start();

    void on_message(const peer_message& message);

    /// Takes the demand of the services that this instance plans; empty if the
    /// platform doesn't scale them.
    [[nodiscard]] std::function<void(const worker_demand&)> demand_handler();

    /// Sends what others need, because the process exits.
    void flush();

    /// Returns the metrics in the Prometheus text format.
    [[nodiscard]] std::string write_metrics() const;

private:
    void on_demand(const worker_demand& demand);
    /// Reports the requests of callers each second.
    boost::asio::awaitable<void> report_open_requests();

    boost::asio::io_context& context_;
    fleet_state& fleet_;
    peer_transport& peers_;
    const node_directory& directory_;
    std::function<duty_holder()> find_holder_;
    instance_id self_;
    logger& log_;
    duty_caller caller_;
    /// Null if usage isn't reported.
    std::unique_ptr<usage_reporter> usage_;
    /// Null if upstreams can't be ordered.
    std::unique_ptr<worker_scaler> scaler_;
};

} // namespace savorydock
