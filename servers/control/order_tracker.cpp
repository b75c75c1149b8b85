#include "servers/control/order_tracker.hpp"

#include <utility>

namespace savorydock {

order_tracker::order_tracker(const state_chart& chart, upstream_rule rule,
                             steady_time settled_at)
    : rule_(std::move(rule))
    , position_(chart)
    , due_(settled_at) {}

outcome<done> order_tracker::check_chart(const state_chart& chart) {
    return chart.require(
        {"settling", "unread", "reading", "ready", "ordered", "superseded"},
        {"settled", "read_sent", "state_read", "still_loading", "read_failed",
         "refresh", "order_sent", "order_done", "order_unsent", "order_failed",
         "order_lost", "fenced"});
}

order_result order_tracker::on_tick(steady_time now,
                                    const order_options& options) {
    if (now < due_) {
        return order_result::none;
    }
    if (position_.is_in("settling")) {
        position_.fire("settled");
    } else if (position_.is_in("reading")) {
        ticket_ = 0;
        position_.fire("read_failed");
    } else if (position_.is_in("ready")) {
        position_.fire("refresh");
    } else if (position_.is_in("ordered")) {
        return mark_lost(options);
    }
    return order_result::none;
}

bool order_tracker::may_read(steady_time now) const {
    return position_.is_in("unread") && now >= due_;
}

void order_tracker::read_sent(std::uint64_t ticket, steady_time now,
                              const order_options& options) {
    position_.fire("read_sent");
    ticket_ = ticket;
    due_ = now + options.max_send_wait + options.read_timeout;
}

void order_tracker::order_sent(std::uint64_t ticket, weight_version version,
                               steady_time not_after,
                               const order_options& options) {
    position_.fire("order_sent");
    ticket_ = ticket;
    pending_ = version;
    not_after_ = not_after;
    due_ = not_after + options.longest_order;
}

order_result order_tracker::on_reply(const order_reply& reply,
                                     fencing_number own, steady_time now,
                                     const order_options& options) {
    if (ticket_ == 0 || reply.ticket != ticket_) {
        return order_result::none;
    }
    ticket_ = 0;
    return position_.is_in("reading")
               ? on_state(reply.answer, own, now, options)
               : on_order_answer(reply.answer, now, options);
}

order_result order_tracker::on_state(const outcome<std::string>& answer,
                                     fencing_number own, steady_time now,
                                     const order_options& options) {
    const auto report = answer ? parse_upstream_report(*answer)
                               : outcome<upstream_report>(answer.reason());
    if (!report) {
        due_ = now + options.read_retry_delay;
        position_.fire("read_failed");
        return order_result::none;
    }
    report_ = *report;
    if (rule_.checks_fencing && report_.fencing > own) {
        position_.fire("fenced");
        return order_result::superseded;
    }
    if (report_.loading != 0) {
        due_ = now + options.read_retry_delay;
        position_.fire("still_loading");
        return order_result::none;
    }
    due_ = now + options.refresh_period;
    position_.fire("state_read");
    return resolve_pending();
}

order_result order_tracker::resolve_pending() {
    const weight_version pending = std::exchange(pending_, 0);
    if (pending == 0) {
        return order_result::none;
    }
    return report_.version == pending ? order_result::done
                                      : order_result::failed;
}

order_result order_tracker::on_order_answer(const outcome<std::string>& answer,
                                            steady_time now,
                                            const order_options& options) {
    if (!answer) {
        return on_refusal(answer.reason(), now, options);
    }
    const auto report = parse_upstream_report(*answer);
    if (!report) {
        return mark_lost(options);
    }
    report_ = *report;
    // Reads the state again soon, because the load right after the swap is not
    // representative.
    due_ = now + options.read_retry_delay;
    position_.fire("order_done");
    return resolve_pending();
}

order_result order_tracker::on_refusal(const failure& reason, steady_time now,
                                       const order_options& options) {
    due_ = now;
    switch (reason.code) {
    case result_code::fencing_refused:
        pending_ = 0;
        position_.fire("fenced");
        return order_result::superseded;
    case result_code::failed_by_upstream:
        pending_ = 0;
        position_.fire("order_failed");
        return is_store_busy(reason.detail) ? order_result::store_busy
                                            : order_result::failed;
    case result_code::lease_not_held:
    case result_code::not_run_no_upstream:
        pending_ = 0;
        due_ = now + options.read_retry_delay;
        position_.fire("order_unsent");
        return order_result::unsent;
    default:
        return mark_lost(options);
    }
}

order_result order_tracker::mark_lost(const order_options& options) {
    // The state is read only once the order can no longer arrive: an earlier
    // read can't rule out that it still takes effect.
    ticket_ = 0;
    due_ = not_after_ + options.longest_order;
    position_.fire("order_lost");
    return order_result::outcome_unknown;
}

} // namespace savorydock
