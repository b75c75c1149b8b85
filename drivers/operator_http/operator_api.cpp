#include "drivers/operator_http/operator_api.hpp"

#include "core/result_code.hpp"
#include "core/secret.hpp"
#include "drivers/caf_runtime/pending_answer.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/json/serialize.hpp>

#include <memory>
#include <optional>

namespace savorydock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::seconds answer_timeout{5};
constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view explain_path = "/v1/explain/";
constexpr std::string_view clear_path = "/v1/clear/";

asio::awaitable<void> send(http_exchange& exchange, unsigned status,
                           json::object body) {
    http_response response{
        .status = status,
        .headers = {{"Content-Type", "application/json"}},
        .body = json::serialize(body) + "\n",
    };
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> refuse(http_exchange& exchange, result_code code,
                             std::string detail) {
    json::object body{{"code", static_cast<unsigned>(code)},
                      {"name", name_of(code)},
                      {"detail", detail}};
    co_await send(exchange, http_status_of(code), std::move(body));
}

asio::awaitable<void> answer_from_control(
    http_exchange& exchange,
    std::function<void(operator_services::answer_handler)> send_query) {
    const auto pending = std::make_shared<pending_answer<json::object>>(
        co_await asio::this_coro::executor);
    send_query(pending->handler());
    auto answer = co_await pending->wait(std::chrono::steady_clock::now() +
                                         answer_timeout);
    if (!answer) {
        co_await refuse(exchange, result_code::not_found,
                        "control did not answer in time");
        co_return;
    }
    co_await send(exchange, 200, std::move(*answer));
}

bool is_authorized(const http_request& request, const std::string& key) {
    const std::string_view text = request.header("Authorization");
    return text.starts_with(bearer) &&
           is_same_secret(text.substr(bearer.size()), key);
}

asio::awaitable<void> send_metrics(http_exchange& exchange,
                                   const operator_services& services) {
    http_response response{
        .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
        .body = services.write_metrics(),
    };
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> send_ready(http_exchange& exchange,
                                 const operator_services& services) {
    const bool is_ready = services.is_ready();
    json::object body{{"ready", is_ready}};
    co_await send(exchange, is_ready ? 200 : 503, std::move(body));
}

asio::awaitable<void> start_drain(http_exchange& exchange,
                                  const operator_services& services) {
    services.start_drain();
    json::object body{{"draining", true}};
    co_await send(exchange, 200, std::move(body));
}

asio::awaitable<void> serve(http_exchange& exchange,
                            const operator_services& services) {
    const http_request& request = exchange.request();
    const std::string_view path = request.path();
    const bool is_read = request.method == "GET";
    if (path == "/v1/ready" && is_read) {
        co_await send_ready(exchange, services);
        co_return;
    }
    if (path == "/metrics" && is_read) {
        co_await send_metrics(exchange, services);
        co_return;
    }
    if (!is_authorized(request, services.operator_key)) {
        co_await refuse(exchange, result_code::not_run_unauthorized,
                        "the operator key is missing or wrong");
        co_return;
    }
    if (path == "/v1/status" && is_read) {
        co_await answer_from_control(exchange, services.read_status);
    } else if (path.starts_with(explain_path) && is_read) {
        const std::string subject(path.substr(explain_path.size()));
        // Closures passed to a coroutine that is awaited need a named variable:
        // GCC 12 copies a temporary closure bitwise and destroys both copies.
        std::function<void(operator_services::answer_handler)> send_query =
            [&services, subject](auto answer) {
                services.explain(subject, std::move(answer));
            };
        co_await answer_from_control(exchange, std::move(send_query));
    } else if (path.starts_with(clear_path) && !is_read) {
        const std::string subject(path.substr(clear_path.size()));
        std::function<void(operator_services::answer_handler)> send_query =
            [&services, subject](auto answer) {
                services.clear_suspect(subject, std::move(answer));
            };
        co_await answer_from_control(exchange, std::move(send_query));
    } else if (path == "/v1/drain" && !is_read) {
        co_await start_drain(exchange, services);
    } else {
        co_await refuse(exchange, result_code::not_found,
                        "no such path or method");
    }
}

} // namespace

http_handler make_operator_api(const operator_services& services) {
    return [&services](http_exchange& exchange) {
        return serve(exchange, services);
    };
}

} // namespace savorydock
