#include "drivers/entry/entry_executor.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds watch_deadline{10};
constexpr std::chrono::seconds call_deadline{5};
constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;

failure refusal_failure(const http_response& answer) {
    return {answer.status == status_conflict ? result_code::fencing_refused
                                             : result_code::failed_by_upstream,
            answer.body};
}

failure transport_failure(const failure& reason) {
    if (classify(reason.code) == result_class::not_run) {
        return {result_code::not_run_no_upstream, reason.detail};
    }
    return {result_code::order_unknown, reason.detail};
}

} // namespace

entry_executor::entry_executor(asio::io_context& context, peer_transport& peers,
                               platform_store& platform)
    : context_(context)
    , peers_(peers)
    , platform_(platform)
    , client_(context) {}

void entry_executor::set_addresses(std::map<instance_id, endpoint> addresses) {
    const std::lock_guard lock(mutex_);
    addresses_ = std::move(addresses);
}

void entry_executor::send_to_peer(const peer_message& message) {
    endpoint target;
    {
        const std::lock_guard lock(mutex_);
        const auto found = addresses_.find(message.to);
        if (found == addresses_.end()) {
            return;
        }
        target = found->second;
    }
    peers_.send(message, target);
}

void entry_executor::call_platform(platform_call call,
                                   std::function<void(platform_reply)> answer) {
    const bool is_watch = std::holds_alternative<watch_prefix>(call.request);
    const steady_time now = std::chrono::steady_clock::now();
    platform_.submit(
        call.request, now + (is_watch ? watch_deadline : call_deadline),
        [ticket = call.ticket,
         answer = std::move(answer)](outcome<platform_answer> result) {
            answer({.ticket = ticket, .answer = std::move(result)});
        });
}

void entry_executor::execute_order(upstream_order order,
                                   std::function<void(order_reply)> answer) {
    asio::co_spawn(context_, send_order(std::move(order), std::move(answer)),
                   asio::detached);
}

asio::awaitable<void>
entry_executor::send_order(upstream_order order,
                           std::function<void(order_reply)> answer) {
    const bool is_read = order.method == order_method::read_state;
    http_request request{
        .method = is_read ? "GET" : "POST",
        .target = order.path,
        .headers = {{"Content-Type", "application/json"}},
        .body = order.body,
    };
    // The lease that permits the order ends at `not_after`, so the client
    // checks the time again after connecting. A new connection is used because
    // the upstream may be about to close an idle one.
    call_options options{.use = connection_use::fresh,
                         .write_by = order.not_after};
    const auto result = co_await client_.call(order.address, std::move(request),
                                              order.not_after + order.timeout,
                                              std::move(options));
    if (!result) {
        answer({.ticket = order.ticket,
                .answer = transport_failure(result.reason())});
    } else if (result->status != status_ok) {
        answer({.ticket = order.ticket, .answer = refusal_failure(*result)});
    } else {
        answer({.ticket = order.ticket, .answer = result->body});
    }
}

} // namespace savorydock
