#include "tests/load/load_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds call_timeout{10};
constexpr unsigned status_ok = 200;

asio::awaitable<void> send_requests(asio::io_context& context,
                                    const load_options& options,
                                    steady_time end, load_result& result) {
    http_client client(context);
    asio::steady_timer timer(context);
    steady_time next = std::chrono::steady_clock::now();
    while (next < end) {
        const steady_time start = std::chrono::steady_clock::now();
        http_request request = options.request;
        const endpoint target = options.target;
        const auto answer = co_await client.call(target, std::move(request),
                                                 start + call_timeout);
        const steady_time now = std::chrono::steady_clock::now();
        if (answer && answer->status == status_ok) {
            ++result.answers;
            result.answer_bytes += answer->body.size();
            result.latencies.push_back(
                std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                                      start));
        } else {
            ++result.failures;
        }
        next = options.interval.count() == 0 ? now : next + options.interval;
        if (next > now) {
            timer.expires_at(next);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
}

} // namespace

std::chrono::microseconds load_result::quantile(double fraction) const {
    if (latencies.empty()) {
        return {};
    }
    return latencies[static_cast<std::size_t>(
        fraction * static_cast<double>(latencies.size()))];
}

load_result run_load(const load_options& options) {
    asio::io_context context(1);
    load_result result;
    const steady_time end = std::chrono::steady_clock::now() + options.duration;
    for (std::uint32_t i = 0; i < options.connections; ++i) {
        asio::co_spawn(context, send_requests(context, options, end, result),
                       asio::detached);
    }
    context.run();
    std::sort(result.latencies.begin(), result.latencies.end());
    return result;
}

} // namespace savorydock
