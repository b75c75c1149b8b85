#pragma once

#include "core/service_document.hpp"
#include "core/state_chart.hpp"
#include "servers/control/order_options.hpp"
#include "servers/control/upstream_report.hpp"
#include "servers/control_server.hpp"

#include <string>
#include <vector>

namespace savorydock {

/// What is known about an order after a reply, a state read or a timeout.
enum class order_result : std::uint8_t {
    /// No result, or none yet.
    none,
    /// The upstream runs the ordered version.
    done,
    /// The upstream does not run the ordered version.
    failed,
    /// The order failed because the weight store had no capacity.
    store_busy,
    /// No byte of the order was sent.
    unsent,
    /// The outcome is unknown; the state is read later to find out.
    outcome_unknown,
    /// The upstream has seen a higher fencing number, from a newer holder.
    superseded,
};

/// Tracks the state of one upstream in the state chart order_life, for one
/// holder.
///
/// At most one order is in flight, and no order is sent while an earlier one
/// may still take effect. Not thread safe: control thread only.
class order_tracker {
public:
    /// Orders of earlier holders may take effect until `settled_at`.
    /// Precondition: the chart passes `check_chart` and outlives the tracker.
    order_tracker(const state_chart& chart, upstream_rule rule,
                  steady_time settled_at);

    /// Errors: `invalid_chart`.
    [[nodiscard]] static outcome<done> check_chart(const state_chart& chart);

    /// Handles timeouts; returns `outcome_unknown` if an order was not answered
    /// in time.
    order_result on_tick(steady_time now, const order_options& options);

    [[nodiscard]] bool may_read(steady_time now) const;
    [[nodiscard]] bool may_order() const { return position_.is_in("ready"); }
    void read_sent(std::uint64_t ticket, steady_time now,
                   const order_options& options);
    /// Precondition: `may_order`.
    void order_sent(std::uint64_t ticket, weight_version version,
                    steady_time not_after, const order_options& options);

    /// Handles the answer to the state read or order with the current ticket;
    /// ignores others. `own` is the fencing number of this holder.
    order_result on_reply(const order_reply& reply, fencing_number own,
                          steady_time now, const order_options& options);

    [[nodiscard]] const upstream_rule& rule() const { return rule_; }
    [[nodiscard]] const upstream_report& report() const { return report_; }
    [[nodiscard]] const std::string& state() const { return position_.state(); }
    /// The version of the order whose outcome is not known yet; 0 if none.
    [[nodiscard]] weight_version pending() const { return pending_; }
    /// The ticket of the call in flight; 0 if none.
    [[nodiscard]] std::uint64_t ticket() const { return ticket_; }

private:
    order_result on_state(const outcome<std::string>& answer,
                          fencing_number own, steady_time now,
                          const order_options& options);
    order_result on_order_answer(const outcome<std::string>& answer,
                                 steady_time now, const order_options& options);
    order_result on_refusal(const failure& reason, steady_time now,
                            const order_options& options);
    order_result mark_lost(const order_options& options);
    /// Ends the pending order, if there is one, and returns its result from
    /// the version in the last report.
    order_result resolve_pending();

    upstream_rule rule_;
    chart_position position_;
    upstream_report report_;
    weight_version pending_ = 0;
    std::uint64_t ticket_ = 0;
    /// When the current chart state times out or its next action is due.
    steady_time due_{};
    /// The latest time at which the order may have been written to the socket.
    steady_time not_after_{};
};

} // namespace savorydock
