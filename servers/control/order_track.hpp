#pragma once

#include "core/service_document.hpp"
#include "core/state_chart.hpp"
#include "servers/control/order_options.hpp"
#include "servers/control/upstream_report.hpp"
#include "servers/control_server.hpp"

#include <string>
#include <vector>

namespace savorydock {

/// What a reply told about an order to an upstream.
enum class order_result : std::uint8_t {
    /// Nothing, or not yet.
    none,
    /// The upstream is at the version that was ordered.
    done,
    /// It is not.
    failed,
    /// It is not, because the weight store had no room.
    store_busy,
    /// No byte of the order was sent.
    unsent,
    /// It is not known; the state is read back later.
    lost,
    /// The upstream has seen a newer holder.
    superseded,
};

/// Where one upstream stands in the chart order_life under one holder.
///
/// At most one order is in flight, and none is given while an earlier one may
/// still take effect. Not thread safe: control thread only.
class order_track {
public:
    /// Orders of others may take effect until `settled_at`. Precondition: the
    /// chart passes `check_chart` and outlives the track.
    order_track(const state_chart& chart, upstream_rule rule,
                steady_time settled_at);

    /// Errors: `invalid_chart`.
    [[nodiscard]] static outcome<done> check_chart(const state_chart& chart);

    /// Lets time pass; returns `lost` if an order was given up on.
    order_result on_tick(steady_time now, const order_options& options);

    [[nodiscard]] bool may_read(steady_time now) const;
    [[nodiscard]] bool may_order() const { return position_.is_in("ready"); }
    void read_sent(std::uint64_t ticket, steady_time now,
                   const order_options& options);
    /// Precondition: `may_order`.
    void order_sent(std::uint64_t ticket, weight_version version,
                    steady_time not_after, const order_options& options);

    /// Takes the answer to the read or order of `ticket`.
    order_result on_reply(const order_reply& reply, fencing_number own,
                          steady_time now, const order_options& options);

    [[nodiscard]] const upstream_rule& rule() const { return rule_; }
    [[nodiscard]] const upstream_report& report() const { return report_; }
    [[nodiscard]] const std::string& state() const { return position_.state(); }
    /// The version of an order whose outcome is not known; 0 if none.
    [[nodiscard]] weight_version pending() const { return pending_; }
    /// The ticket of the call that is waited for; 0 if none.
    [[nodiscard]] std::uint64_t ticket() const { return ticket_; }

private:
    order_result on_state(const outcome<std::string>& answer,
                          fencing_number own, steady_time now,
                          const order_options& options);
    order_result on_order_answer(const outcome<std::string>& answer,
                                 steady_time now, const order_options& options);
    order_result on_refusal(const failure& reason, steady_time now,
                            const order_options& options);
    order_result lose(const order_options& options);
    /// Says what became of the pending order, if there is one.
    order_result resolve();

    upstream_rule rule_;
    chart_position position_;
    upstream_report report_;
    weight_version pending_ = 0;
    std::uint64_t ticket_ = 0;
    /// When the state or the answer to wait for is due.
    steady_time due_{};
    /// The last moment at which the order may have reached the socket.
    steady_time not_after_{};
};

} // namespace savorydock
