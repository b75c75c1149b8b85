#include "drivers/batch/engine_driver.hpp"
#include "drivers/front/attempt_log.hpp"
#include "platform/order_codec.hpp"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// Upstreams answer orders immediately; after this time the roll-out retries.
constexpr std::chrono::milliseconds order_timeout{800};

std::string to_word(order_answer answer) {
    switch (answer) {
    case order_answer::accepted:
        return "accepted";
    case order_answer::already_holds:
        return "already_holds";
    case order_answer::conflict:
        return "conflict";
    case order_answer::fenced_off:
        return "fenced_off";
    case order_answer::invalid:
        return "invalid";
    case order_answer::wrong_upstream:
        return "wrong_upstream";
    case order_answer::unknown:
        return "unknown";
    }
    return "unlisted";
}

} // namespace

order_delays engine_driver::find_order_delays() const {
    const steady_time now = std::chrono::steady_clock::now();
    const boot_clock::time_point boot_now = boot_clock::now();
    const auto to_steady = [&](boot_clock::time_point time) {
        return now + std::chrono::duration_cast<steady_time::duration>(
                         time - boot_now);
    };
    const holder_separation& separation = term_.separation();
    order_delays delays;
    boot_clock::time_point last = separation.earliest_first_call();
    if (last > boot_now) {
        delays.all_until = to_steady(last);
    }
    for (const auto& [upstream, until] : separation.waiting_subjects()) {
        delays.upstreams.emplace(upstream_id(upstream), to_steady(until));
        last = std::max(last, until);
    }
    if (last > boot_now) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
            last - boot_now);
        log_.write(log_event::orders_delayed,
                   "service=" + options_.service.text() + " term=" +
                       std::to_string(term_.term()->revision) + " upstreams=" +
                       (delays.all_until > now
                            ? "all"
                            : std::to_string(delays.upstreams.size())) +
                       " milliseconds=" + std::to_string(wait.count()));
    }
    return delays;
}

bool engine_driver::may_send(const version_order& order) const {
    return !is_draining_ && term_.is_held_now() &&
           term_.term()->revision == order.fencing &&
           boot_clock::now() >=
               term_.separation().earliest_call(order.upstream.text());
}

asio::awaitable<void> engine_driver::send_order(version_order order) {
    const upstream_entry* const upstream = find_upstream(order.upstream);
    order_answer answer = order_answer::unknown;
    if (upstream != nullptr && may_send(order)) {
        ++statistics_.orders_sent;
        ++orders_in_progress_;
        attempt_log attempt(fleet_, log_, "order", order.model, order.upstream);
        const auto record_call = [this, &order] {
            term_.separation().on_call(order.upstream.text(), order.fencing,
                                       boot_clock::now());
        };
        // The machine may be suspended after the roll-out issued the order, or
        // while the connection is being opened.
        call_options options{.may_write =
                                 [this, &order, &record_call] {
                                     const bool may_write = may_send(order);
                                     if (may_write) {
                                         record_call();
                                     }
                                     return may_write;
                                 },
                             .trace = attempt.trace()};
        http_request request = platform::make_version_order(order);
        // Bytes of an order must not arrive after the term.
        const auto left = std::min<std::chrono::nanoseconds>(
            term_.held_until() - boot_clock::now(), order_timeout);
        const steady_time deadline =
            std::chrono::steady_clock::now() +
            std::chrono::duration_cast<steady_time::duration>(left);
        const auto response =
            co_await engines_.call(upstream->address, std::move(request),
                                   deadline, std::move(options));
        --orders_in_progress_;
        if (attempt.trace()->stage >= call_stage::writing) {
            // The order may have arrived until now.
            record_call();
        }
        if (response) {
            attempt.on_answered();
            answer = platform::decode_order_answer(*response);
        } else {
            attempt.on_failed(response.reason());
        }
    }
    const bool is_done = answer == order_answer::accepted ||
                         answer == order_answer::already_holds;
    log_.write(is_done ? log_event::order_done
               : answer == order_answer::unknown
                   ? log_event::order_outcome_unknown
                   : log_event::order_refused,
               "upstream=" + order.upstream.text() + " model=" + order.model +
                   " version=" + std::to_string(order.version) +
                   " fencing=" + std::to_string(order.fencing) +
                   " expected_orders=" + std::to_string(order.expected_orders) +
                   " answer=" + to_word(answer));
    post_step([order, answer](engine_control& control, steady_time now,
                              engine_commands&) {
        control.rollout().on_answer(order, answer, now);
    });
}

asio::awaitable<void> engine_driver::request_load(upstream_id id) {
    const upstream_entry* const upstream = find_upstream(id);
    std::optional<upstream_load_report> load;
    if (upstream != nullptr) {
        attempt_log attempt(fleet_, log_, "load_report", id.text(), id);
        call_options options{.trace = attempt.trace()};
        http_request request = platform::make_load_request();
        const steady_time deadline =
            std::chrono::steady_clock::now() + order_timeout;
        const auto response =
            co_await engines_.call(upstream->address, std::move(request),
                                   deadline, std::move(options));
        if (response) {
            attempt.on_answered();
            load = platform::decode_load(*response);
        } else {
            attempt.on_failed(response.reason());
        }
    }
    post_step(
        [id, load](engine_control& control, steady_time now, engine_commands&) {
            control.rollout().on_load_report(id, load, now);
        });
}

} // namespace savorydock
