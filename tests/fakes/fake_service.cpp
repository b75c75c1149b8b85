#include "tests/fakes/fake_service.hpp"

#include "core/object_reader.hpp"
#include "tests/fakes/fake_answer.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <cstdlib>
#include <utility>

namespace savorydock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr integer_range any_number{0, std::int64_t{1} << 60};

} // namespace

fake_service::fake_service(service_faults faults)
    : faults_(std::move(faults))
    , server_(pool_, {},
              [this](http_exchange& exchange) { return handle(exchange); }) {}

outcome<endpoint> fake_service::listen(const endpoint& address) {
    return server_.listen(address);
}

std::map<std::string, std::uint32_t> fake_service::runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
}

void fake_service::set_faults(const service_faults& faults) {
    const std::lock_guard lock(mutex_);
    faults_ = faults;
}

asio::awaitable<void> fake_service::handle(http_exchange& exchange) {
    const std::string_view path = exchange.request().path();
    if (path == "/faults") {
        co_await change_faults(exchange);
    } else if (path == "/runs") {
        co_await send_runs(exchange);
    } else {
        co_await run(exchange);
    }
}

asio::awaitable<void> fake_service::run(http_exchange& exchange) {
    const http_request& request = exchange.request();
    service_faults now;
    bool is_refused = false;
    bool is_lost = false;
    {
        const std::lock_guard lock(mutex_);
        now = faults_;
        is_refused = faults_.is_leaving || faults_.refusals > 0;
        if (is_refused) {
            faults_.refusals -= faults_.refusals > 0 ? 1 : 0;
        } else {
            ++runs_[request.body];
            is_lost = faults_.lost_answers > 0;
            faults_.lost_answers -= is_lost ? 1 : 0;
        }
    }
    if (is_refused) {
        co_await send_error(exchange, 503, "refused", now.is_leaving);
        co_return;
    }
    if (!now.crash_on.empty() &&
        request.body.find(now.crash_on) != std::string::npos) {
        std::_Exit(EXIT_FAILURE);
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, now.delay);
    co_await timer.async_wait(asio::use_awaitable);
    if (is_lost) {
        co_return;
    }
    json::object answer{{"ran", request.path()}, {"body", request.body}};
    co_await send_json(exchange, 200, std::move(answer));
}

asio::awaitable<void> fake_service::send_runs(http_exchange& exchange) {
    json::object counts;
    for (const auto& [body, count] : runs()) {
        counts[body] = count;
    }
    co_await send_json(exchange, 200, std::move(counts));
}

asio::awaitable<void> fake_service::change_faults(http_exchange& exchange) {
    std::vector<document_fault> problems;
    const auto parsed = parse_commented_json(exchange.request().body);
    if (!parsed) {
        co_await send_error(exchange, 400, "not JSON");
        co_return;
    }
    object_reader reader(*parsed, "", problems);
    service_faults faults{
        .delay = reader.milliseconds("delay_ms", any_number, {}),
        .lost_answers = static_cast<std::uint32_t>(
            reader.integer("lost_answers", any_number, 0)),
        .refusals = static_cast<std::uint32_t>(
            reader.integer("refusals", any_number, 0)),
        .crash_on = reader.has("crash_on") ? reader.text("crash_on") : "",
        .is_leaving = reader.boolean("leaving", false),
    };
    reader.finish();
    if (!problems.empty()) {
        co_await send_error(exchange, 400, to_text(problems));
        co_return;
    }
    set_faults(faults);
    co_await send_json(exchange, 200, json::object());
}

} // namespace savorydock
