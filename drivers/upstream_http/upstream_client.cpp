#include "drivers/upstream_http/upstream_client.hpp"

#include "core/object_reader.hpp"
#include "drivers/http/event_stream_reader.hpp"
#include "servers/delivery/upstream_failure_map.hpp"

#include <boost/json.hpp>

namespace savorydock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;
constexpr std::string_view end_of_stream = "[DONE]";
constexpr std::string_view leaving_header = "Savorydock-Leaving";
/// Upstreams may echo this header of a request in their answer.
constexpr std::string_view request_id_header = "Savorydock-Request-Id";

template <class Number>
Number number_of(const json::object& object, std::string_view name,
                 Number fallback) {
    const json::value* const found = object.if_contains(name);
    if (found == nullptr || !found->is_number()) {
        return fallback;
    }
    json::error_code error;
    const auto number = found->to_number<Number>(error);
    return error ? fallback : number;
}

std::string text_of(const json::object& object, std::string_view name) {
    const json::value* const found = object.if_contains(name);
    return found != nullptr && found->is_string()
               ? std::string(found->get_string())
               : std::string();
}

outcome<stream_event> read_event(const std::string& data) {
    json::error_code error;
    const json::value parsed = json::parse(data, error);
    if (error || !parsed.is_object()) {
        return failure{result_code::failed_by_upstream,
                       "an event of the stream is not a JSON object"};
    }
    const json::object& object = parsed.get_object();
    stream_event event{
        .stream = text_of(object, "id"),
        .attempt = number_of<attempt_number>(object, "attempt", 0),
        .first_token = number_of<std::uint32_t>(object, "index", 0),
        .token_count = object.contains("text") ? 1U : 0U,
        .text = text_of(object, "text"),
        .version = number_of<weight_version>(object, "version", 0),
        .is_finish = object.contains("finish_reason"),
    };
    if (object.contains("tokens")) {
        event.total_tokens = number_of<std::uint32_t>(object, "tokens", 0);
    }
    return event;
}

http_request to_request(const generation_call& call) {
    json::object body{
        {"stream_id", call.stream},
        {"attempt", call.attempt},
        {"prompt", call.prompt},
        {"max_tokens", call.max_tokens},
        {"seed", call.seed},
        {"resume_from", call.resume_from},
        {"resume_text", call.resume_text},
        {"priority", call.priority},
        {"stream", true},
    };
    return {
        .method = "POST",
        .target = "/v1/completions",
        .headers = {{"Content-Type", "application/json"},
                    {"Accept", "text/event-stream"}},
        .body = json::serialize(body),
    };
}

upstream_evidence evidence_of(unsigned status, const http_headers& headers) {
    if (!find_header(headers, leaving_header).empty()) {
        return upstream_evidence::reported_leaving;
    }
    if (status == status_unavailable || status == status_too_many_requests) {
        return upstream_evidence::reported_overloaded;
    }
    return upstream_evidence::answered;
}

std::chrono::microseconds elapsed_since(steady_time start) {
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now() - start);
}

failure engine_failure(unsigned status) {
    return {classify_status(status, service_kind::model).code,
            "HTTP status " + std::to_string(status)};
}

} // namespace

upstream_evidence evidence_of(result_code code) {
    switch (code) {
    case result_code::not_run_no_upstream:
        return upstream_evidence::refused_connection;
    case result_code::unknown_upstream_lost:
    case result_code::failed_truncated:
        return upstream_evidence::connection_lost;
    case result_code::unknown_deadline:
    case result_code::not_run_deadline:
        return upstream_evidence::timed_out;
    default:
        return upstream_evidence::answered;
    }
}

asio::awaitable<outcome<http_response>>
upstream_client::call(endpoint address, http_request request,
                      std::string_view body, steady_time deadline,
                      bool is_idempotent, call_evidence& evidence) {
    const steady_time start = std::chrono::steady_clock::now();
    call_options options{
        .use = is_idempotent ? connection_use::reuse : connection_use::fresh,
        .body = body,
        .is_own_answer = [id = std::string(request.header(request_id_header))](
                             const http_headers& headers) {
            const auto echoed = find_header(headers, request_id_header);
            return echoed.empty() || echoed == id;
        }};
    auto answer = co_await client_.call(std::move(address), std::move(request),
                                        deadline, std::move(options));
    evidence.first_byte = elapsed_since(start);
    evidence.evidence = answer ? evidence_of(answer->status, answer->headers)
                               : savorydock::evidence_of(answer.reason().code);
    co_return answer;
}

asio::awaitable<outcome<done>>
upstream_client::generate(endpoint address, generation_call call,
                          steady_time deadline, event_sink sink,
                          call_evidence& evidence) {
    const steady_time start = std::chrono::steady_clock::now();
    http_request request = to_request(call);
    auto opened =
        co_await client_.open(std::move(address), std::move(request), deadline);
    evidence.first_byte = elapsed_since(start);
    if (!opened) {
        evidence.evidence = savorydock::evidence_of(opened.reason().code);
        co_return opened.reason();
    }
    http_stream& stream = **opened;
    evidence.evidence = evidence_of(stream.status(), stream.headers());
    if (stream.status() != status_ok) {
        co_return engine_failure(stream.status());
    }
    event_stream_reader reader;
    bool has_ended = false;
    while (true) {
        auto part = co_await stream.read_some(deadline);
        if (!part) {
            evidence.evidence = savorydock::evidence_of(part.reason().code);
            co_return part.reason();
        }
        if (part->empty()) {
            break;
        }
        if (!reader.feed(*part)) {
            co_return failure{result_code::failed_by_upstream,
                              "an event of the stream is too large"};
        }
        while (const auto data = reader.next()) {
            has_ended = has_ended || *data == end_of_stream;
            if (has_ended) {
                continue;
            }
            const auto event = read_event(*data);
            if (!event) {
                co_return event.reason();
            }
            if (!co_await sink(*event)) {
                co_return failure{result_code::cancelled_by_caller,
                                  "the answer is not wanted any more"};
            }
        }
    }
    if (!has_ended) {
        evidence.evidence = upstream_evidence::connection_lost;
        co_return failure{result_code::failed_truncated,
                          "the stream has no end mark"};
    }
    co_return done{};
}

asio::awaitable<void> upstream_client::cancel(endpoint address,
                                              std::string stream,
                                              steady_time deadline) {
    http_request request{.method = "DELETE", .target = "/v1/streams/" + stream};
    co_await client_.call(std::move(address), std::move(request), deadline);
}

} // namespace savorydock
