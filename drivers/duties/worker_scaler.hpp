#pragma once

#include "core/logger.hpp"
#include "core/node_settings.hpp"
#include "drivers/duties/duty_caller.hpp"
#include "servers/duties/worker_scaling.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>

namespace savorydock {

/// Totals for the metrics.
struct scaling_statistics {
    std::uint64_t orders_accepted = 0;
    std::uint64_t orders_unavailable = 0;
    std::uint64_t orders_refused = 0;
};

/// Orders workers from the platform while this instance holds the duties.
/// Not thread safe: all calls must come from one traffic thread.
class worker_scaler {
public:
    /// All references must outlive `context`.
    worker_scaler(boost::asio::io_context& context, fleet_state& fleet,
                  duty_caller& caller, const node_settings& settings,
                  logger& log);

    /// Precondition: called once.
    void start();

    void on_demand(const instance_id& from, const worker_demand& demand);

    [[nodiscard]] const scaling_statistics& statistics() const {
        return statistics_;
    }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> send(held_term term, worker_order order);
    void update_fleet();

    boost::asio::io_context& context_;
    fleet_state& fleet_;
    duty_caller& caller_;
    duty_settings settings_;
    instance_id self_;
    logger& log_;
    worker_scaling scaling_;
    /// The term for which `scaling_` decides; 0 if none.
    store_revision term_ = 0;
    scaling_statistics statistics_;
};

} // namespace savorydock
