#include "drivers/caller_http/caller_request.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace savorydock {

namespace {

constexpr call_attempt max_attempt = 1'000'000;
constexpr std::size_t max_id_bytes = 128;
constexpr std::string_view bearer = "Bearer ";

/// Ids are written to logs and URL paths, so only a few characters are
/// allowed.
bool is_valid_id(std::string_view text) {
    return !text.empty() && text.size() <= max_id_bytes &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_' ||
                      c == '.' || c == '/' || c == ':';
           });
}

template <class Number>
outcome<Number> read_number(std::string_view name, std::string_view text,
                            Number low, Number high, Number fallback) {
    if (text.empty()) {
        return fallback;
    }
    Number number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() ||
        number < low || number > high) {
        return failure{result_code::not_run_bad_request,
                       std::string(name) + ": expected a whole number from " +
                           std::to_string(low) + " to " + std::to_string(high)};
    }
    return number;
}

std::string_view bearer_key(const http_request& request) {
    std::string_view text = request.header("Authorization");
    if (!text.starts_with(bearer)) {
        return {};
    }
    return text.substr(bearer.size());
}

outcome<done> read_headers(const http_request& request,
                           caller_request& result) {
    const auto allowed = result.service_class->deadline.count();
    const auto wanted = read_number<std::int64_t>(
        caller_header::deadline, request.header(caller_header::deadline), 1,
        std::numeric_limits<std::int32_t>::max(), allowed);
    if (!wanted) {
        return wanted.reason();
    }
    result.deadline =
        result.began +
        std::chrono::milliseconds(std::min<std::int64_t>(*wanted, allowed));
    const auto attempt = read_number<call_attempt>(
        caller_header::attempt, request.header(caller_header::attempt), 1,
        max_attempt, 0);
    if (!attempt) {
        return attempt.reason();
    }
    result.attempt = *attempt;
    const std::string_view key = request.header(caller_header::idempotency_key);
    if (!key.empty() && !is_valid_id(key)) {
        return failure{result_code::not_run_bad_request,
                       "Idempotency-Key: expected 1 to 128 letters, digits "
                       "or -_./:"};
    }
    result.key = idempotency_key(std::string(key));
    result.last_instance =
        instance_id(std::string(request.header(caller_header::last_instance)));
    return done{};
}

} // namespace

request_id id_of(const http_request& request, traffic_services& services) {
    const std::string_view given = request.header(caller_header::request_id);
    if (is_valid_id(given)) {
        return request_id(std::string(given));
    }
    return request_id(services.instance.text() + '-' + services.incarnation +
                      '-' + std::to_string(services.next_request++));
}

outcome<caller_request> admit_request(const http_request& request,
                                      request_id id,
                                      const service_name& service,
                                      traffic_services& services) {
    caller_request result{.id = std::move(id),
                          .view = services.configuration.load(),
                          .began = std::chrono::steady_clock::now()};
    if (services.is_draining) {
        return failure{result_code::not_run_draining, "the instance drains"};
    }
    if (!result.view || result.view->services().empty()) {
        return failure{result_code::not_run_no_configuration,
                       "no service is in force on this instance"};
    }
    result.service = result.view->find(service);
    if (result.service == nullptr) {
        return failure{result_code::not_run_unknown_service,
                       "no service " + service.text()};
    }
    const service_document& document = *result.service->document;
    result.caller = document.caller_of_key(bearer_key(request));
    if (result.caller == nullptr) {
        return failure{result_code::not_run_unauthorized,
                       "the key is missing or is not one of the service's"};
    }
    result.service_class = document.find_class(result.caller->class_of_service);
    if (!services.limiter.admit(service, result.caller->name, result.began)) {
        return failure{result_code::not_run_limit,
                       "the caller is over its requests a second"};
    }
    const auto read = read_headers(request, result);
    if (!read) {
        return read.reason();
    }
    services.decisions.add(result.id.text(),
                           {.kind = decision_kind::received,
                            .detail = "service=" + service.text() +
                                      " caller=" + result.caller->name.text()},
                           result.began);
    return result;
}

void record_end(traffic_services& services, const caller_request& request,
                const failure& reason) {
    services.metrics.observe(
        {.service = request.service->document->service,
         .class_of_service = request.service_class->name,
         .name = classify(reason.code) == result_class::not_run
                     ? "refused_seconds"
                     : "request_seconds"},
        std::chrono::steady_clock::now() - request.began);
    record_end(services, request.id, reason);
}

failure adjust_refusal_code(const http_request& request, failure reason) {
    const bool is_keyed =
        !request.header(caller_header::idempotency_key).empty();
    const auto attempt = read_number<call_attempt>(
        caller_header::attempt, request.header(caller_header::attempt), 1,
        max_attempt, 0);
    reason.code = refusal_code_for(reason.code, is_keyed,
                                   attempt ? *attempt : max_attempt);
    return reason;
}

http_headers make_answer_headers(const request_id& id, result_code code,
                                 const instance_id& instance) {
    return {
        {std::string(caller_header::request_id), id.text()},
        {std::string(caller_header::result),
         std::to_string(static_cast<unsigned>(code))},
        {std::string(caller_header::instance), instance.text()},
    };
}

http_response make_failure_answer(const request_id& id, const failure& reason,
                                  const instance_id& instance) {
    boost::json::object body{
        {"request_id", id.text()},
        {"code", static_cast<unsigned>(reason.code)},
        {"name", name_of(reason.code)},
        {"detail", reason.detail},
        {"instance", instance.text()},
    };
    http_response answer{
        .status = http_status_of(reason.code),
        .headers = make_answer_headers(id, reason.code, instance),
        .body = boost::json::serialize(body),
    };
    answer.headers.push_back({"Content-Type", "application/json"});
    return answer;
}

void record_end(traffic_services& services, const request_id& id,
                const failure& reason) {
    const result_class ended_as = classify(reason.code);
    const bool is_refused = ended_as == result_class::not_run;
    services.decisions.add(
        id.text(),
        {.kind = is_refused ? decision_kind::refused : decision_kind::finished,
         .code = reason.code,
         .detail = reason.detail},
        std::chrono::steady_clock::now());
    log_event event = log_event::request_finished;
    if (is_refused) {
        event = log_event::request_refused;
    } else if (ended_as == result_class::unknown) {
        event = log_event::request_outcome_unknown;
    }
    services.log.write(
        event, "request=" + id.text() + " code=" +
                   std::to_string(static_cast<unsigned>(reason.code)) +
                   " result=" + std::string(name_of(reason.code)) +
                   (reason.detail.empty() ? "" : " detail=" + reason.detail));
}

} // namespace savorydock
