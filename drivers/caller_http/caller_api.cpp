#include "drivers/caller_http/caller_api.hpp"

#include "core/object_reader.hpp"
#include "drivers/caller_http/caller_request.hpp"
#include "drivers/caller_http/model_call.hpp"
#include "drivers/caller_http/plain_call.hpp"
#include "drivers/caller_http/step_call.hpp"
#include "servers/admission/memory_plan.hpp"

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr std::string_view completions_path = "/v1/completions";
constexpr std::string_view steps_path = "/v1/steps";
constexpr std::string_view services_path = "/v1/services/";

constexpr std::size_t small_body_bytes = 65'536;

enum class api_call : std::uint8_t { none, completion, step, plain };

struct api_target {
    api_call call = api_call::none;
    service_name service;
    /// The path and query that are forwarded to a plain service.
    std::string path;
};

/// Returns the service named by "model" in the body of a completion or step;
/// empty if there is none.
service_name model_of(const std::string& body) {
    const auto parsed = parse_commented_json(body);
    if (!parsed || !parsed->is_object()) {
        return {};
    }
    const auto* const model = parsed->get_object().if_contains("model");
    return model != nullptr && model->is_string()
               ? service_name(std::string(model->get_string()))
               : service_name();
}

api_target read_target(const http_request& request) {
    const std::string_view path = request.path();
    if (path == completions_path && request.method == "POST") {
        return {.call = api_call::completion,
                .service = model_of(request.body)};
    }
    if (path == steps_path && request.method == "POST") {
        return {.call = api_call::step, .service = model_of(request.body)};
    }
    if (!path.starts_with(services_path)) {
        return {};
    }
    const std::string_view rest =
        std::string_view(request.target).substr(services_path.size());
    const std::size_t slash = rest.find('/');
    if (slash == std::string_view::npos || slash == 0) {
        return {};
    }
    return {.call = api_call::plain,
            .service = service_name(std::string(rest.substr(0, slash))),
            .path = std::string(rest.substr(slash))};
}

/// Checks that the kind of call matches the kind of service.
outcome<done> check_kind(const api_target& target,
                         const caller_request& request) {
    const bool wants_model = target.call != api_call::plain;
    const bool is_model =
        request.service->document->kind == service_kind::model;
    if (wants_model != is_model) {
        return failure{result_code::not_run_bad_request,
                       is_model ? "a model service takes completions and "
                                  "steps"
                                : "a plain service takes /v1/services calls"};
    }
    return done{};
}

asio::awaitable<void> refuse(http_exchange& exchange, const request_id& id,
                             failure reason, traffic_services& services) {
    reason = adjust_refusal_code(exchange.request(), std::move(reason));
    record_end(services, id, reason);
    http_response answer = make_failure_answer(id, reason, services.instance);
    co_await exchange.respond(std::move(answer));
}

/// Reserves memory for parsing a large body. Small ones are parsed in any case,
/// so that ordinary callers are served while memory is short.
bool reserve_parsing(http_exchange& exchange) {
    const http_request& request = exchange.request();
    const std::string_view path = request.path();
    const bool is_parsed = path == completions_path || path == steps_path;
    return !is_parsed || request.body.size() <= small_body_bytes ||
           exchange.reserve_memory(estimate_parsed_bytes(request.body));
}

asio::awaitable<void> serve(http_exchange& exchange,
                            traffic_services& services) {
    const request_id id = id_of(exchange.request(), services);
    if (!reserve_parsing(exchange)) {
        const failure reason{result_code::not_run_overloaded,
                             "no memory to parse the body"};
        co_await refuse(exchange, id, reason, services);
        co_return;
    }
    api_target target = read_target(exchange.request());
    if (target.call == api_call::none) {
        const failure reason{result_code::not_found, "no such path or method"};
        co_await refuse(exchange, id, reason, services);
        co_return;
    }
    if (target.service.is_empty()) {
        const failure reason{result_code::not_run_bad_request,
                             "the body must be a JSON object that names a "
                             "service as \"model\""};
        co_await refuse(exchange, id, reason, services);
        co_return;
    }
    auto request =
        admit_request(exchange.request(), id, target.service, services);
    if (!request) {
        co_await refuse(exchange, id, request.reason(), services);
        co_return;
    }
    const auto checked = check_kind(target, *request);
    if (!checked) {
        co_await refuse(exchange, id, checked.reason(), services);
        co_return;
    }
    switch (target.call) {
    case api_call::completion:
        co_await serve_model_call(exchange, std::move(*request), services);
        break;
    case api_call::step:
        co_await serve_step(exchange, std::move(*request), services);
        break;
    default:
        co_await serve_plain_call(exchange, std::move(*request),
                                  std::move(target.path), services);
    }
}

} // namespace

http_handler make_caller_api(traffic_services& services) {
    return [&services](http_exchange& exchange) {
        return serve(exchange, services);
    };
}

} // namespace savorydock
