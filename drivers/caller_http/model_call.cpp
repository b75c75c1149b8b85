#include "drivers/caller_http/model_call.hpp"

#include "core/object_reader.hpp"
#include "drivers/caller_http/answer_json.hpp"
#include "drivers/caller_http/generation_run.hpp"

#include <boost/json.hpp>

namespace savorydock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr integer_range token_range{1, 1'000'000};
constexpr std::int64_t default_max_tokens = 256;

struct completion_body {
    std::string prompt;
    std::uint32_t max_tokens = 0;
    bool is_stream = false;
};

outcome<completion_body> read_body(const std::string& text) {
    const auto parsed = parse_commented_json(text);
    if (!parsed) {
        return failure{result_code::not_run_bad_request,
                       parsed.reason().detail};
    }
    std::vector<document_fault> faults;
    object_reader reader(*parsed, "", faults);
    static_cast<void>(reader.text("model"));
    completion_body body{
        .prompt = reader.text("prompt"),
        .max_tokens = static_cast<std::uint32_t>(
            reader.integer("max_tokens", token_range, default_max_tokens)),
        .is_stream = reader.boolean("stream", false),
    };
    reader.finish();
    if (!faults.empty()) {
        return failure{result_code::not_run_bad_request, to_text(faults)};
    }
    return body;
}

/// Streams one answer to the caller as server-sent events.
class completion_writer {
public:
    completion_writer(http_exchange& exchange, const caller_request& request,
                      traffic_services& services)
        : exchange_(exchange)
        , request_(request)
        , services_(services) {}

    asio::awaitable<bool> write(const stream_event& event) {
        if (!exchange_.has_begun()) {
            http_headers headers = make_answer_headers(
                request_.id, result_code::ok, services_.instance);
            headers.push_back({"Content-Type", "text/event-stream"});
            if (!co_await exchange_.begin_stream(200, std::move(headers))) {
                co_return false;
            }
        }
        json::object choice{{"index", 0}, {"text", event.text}};
        json::object body{{"id", request_.id.text()},
                          {"choices", json::array{choice}}};
        std::string chunk = to_server_sent_event(body);
        co_return co_await exchange_.write_chunk(std::move(chunk));
    }

    asio::awaitable<void> finish(const json::object& summary) {
        std::string chunk = to_server_sent_event(summary) + "data: [DONE]\n\n";
        if (co_await exchange_.write_chunk(std::move(chunk))) {
            co_await exchange_.end_stream();
        }
    }

    /// Reports that the answer can't be completed although the stream has
    /// begun: sends an error event and leaves out the final "[DONE]" event.
    asio::awaitable<void> abort(const failure& reason) {
        json::object body{{"error", to_json(reason)},
                          {"id", request_.id.text()}};
        std::string chunk = to_server_sent_event(body);
        co_await exchange_.write_chunk(std::move(chunk));
    }

private:
    http_exchange& exchange_;
    const caller_request& request_;
    traffic_services& services_;
};

json::object summarize(const caller_request& request,
                       const answer_assembler& answer, bool has_text) {
    json::object choice{{"index", 0}, {"finish_reason", "stop"}};
    choice["text"] = has_text ? answer.text() : "";
    json::object body{
        {"id", request.id.text()},
        {"object", "text_completion"},
        {"choices", json::array{choice}},
        {"usage", json::object{{"completion_tokens", answer.next_token()}}}};
    const auto versions = answer.versions();
    if (versions) {
        body["versions"] = to_json(*versions);
    }
    return body;
}

asio::awaitable<void> answer_whole(http_exchange& exchange,
                                   const caller_request& request,
                                   const answer_assembler& answer,
                                   traffic_services& services) {
    http_response response{
        .headers =
            make_answer_headers(request.id, result_code::ok, services.instance),
        .body = json::serialize(summarize(request, answer, true)),
    };
    response.headers.push_back({"Content-Type", "application/json"});
    co_await exchange.respond(std::move(response));
}

} // namespace

asio::awaitable<void> serve_model_call(http_exchange& exchange,
                                       caller_request request,
                                       traffic_services& services) {
    const auto body = read_body(exchange.request().body);
    if (!body) {
        record_end(services, request, body.reason());
        http_response refusal =
            make_failure_answer(request.id, body.reason(), services.instance);
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    completion_writer writer(exchange, request, services);
    attempt_number attempt = 1;
    answer_assembler answer(request.id.text(), attempt);
    const bool is_stream = body->is_stream;
    auto sink = [&](const stream_event& event) -> asio::awaitable<bool> {
        if (is_stream) {
            co_return co_await writer.write(event);
        }
        co_return !exchange.is_caller_disconnected();
    };
    request_lifecycle lifecycle(services.request_chart,
                                services.chart_violations);
    lifecycle.fire("enqueue");
    generation_task task{
        .stream = request.id.text(),
        .prompt = body->prompt,
        .max_tokens = body->max_tokens,
        .prefix_hash = hash_prefix(body->prompt),
        .expected_tokens = body->max_tokens,
        .lifecycle = &lifecycle,
        .next_attempt = [&attempt] { return ++attempt; },
        .sink = sink,
    };
    const auto result = co_await run_generation(
        task, request, exchange.worker(), answer, services);
    record_end(services, request, result.reason());
    if (result && is_stream) {
        co_await writer.finish(summarize(request, answer, false));
    } else if (result) {
        co_await answer_whole(exchange, request, answer, services);
    } else if (exchange.has_begun()) {
        co_await writer.abort(result.reason());
    } else {
        http_response refusal =
            make_failure_answer(request.id, result.reason(), services.instance);
        co_await exchange.respond(std::move(refusal));
    }
}

} // namespace savorydock
