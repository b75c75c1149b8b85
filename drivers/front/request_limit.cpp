#include "drivers/front/request_limit.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <string>

namespace savorydock {

namespace asio = boost::asio;

void record_request_limit(fleet_state& fleet, const upstream_id& upstream,
                          const platform::upstream_answer_metadata& answer,
                          logger& log) {
    // A refusal without a limit doesn't lift the limit.
    if (answer.is_not_run && !answer.request_limit) {
        return;
    }
    const bool is_changed = fleet.pool.limits().on_answer(
        upstream, answer.request_limit, std::chrono::steady_clock::now());
    if (is_changed) {
        log.write(log_event::upstream_limit_changed,
                  "upstream=" + upstream.text() + " requests_per_second=" +
                      (answer.request_limit
                           ? std::to_string(*answer.request_limit)
                           : "unlimited"));
        fleet.on_limit_changed(upstream, answer.request_limit);
    }
}

std::optional<steady_time> reserve_request(upstream_pool& pool,
                                           const upstream_id& upstream,
                                           steady_time latest,
                                           steady_time now) {
    const steady_time send_at = pool.limits().next_send_time(upstream, now);
    if (send_at > latest) {
        return std::nullopt;
    }
    pool.limits().reserve(upstream, now);
    return send_at;
}

asio::awaitable<void> wait_until(steady_time time) {
    if (time > std::chrono::steady_clock::now()) {
        asio::steady_timer timer(co_await asio::this_coro::executor, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace savorydock
