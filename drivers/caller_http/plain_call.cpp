#include "drivers/caller_http/plain_call.hpp"

#include "drivers/caller_http/admission_gate.hpp"
#include "drivers/caller_http/upstream_attempt.hpp"

#include <array>
#include <optional>

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr unsigned first_server_error = 500;

/// Headers of the caller that its plain service gets to see.
http_request to_upstream(const http_request& source, const std::string& path,
                         const caller_request& request) {
    http_request target{
        .method = source.method, .target = path, .body = source.body};
    constexpr std::array<std::string_view, 3> passed{
        "Content-Type", "Accept", caller_header::idempotency_key};
    for (const std::string_view name : passed) {
        const std::string_view value = source.header(name);
        if (!value.empty()) {
            target.headers.push_back({std::string(name), std::string(value)});
        }
    }
    target.headers.push_back(
        {std::string(caller_header::request_id), request.id.text()});
    return target;
}

/// Judges what an answer of the upstream says about the run.
failure judge(const outcome<http_response>& answer, const call_evidence& seen) {
    if (!answer) {
        return answer.reason();
    }
    const bool is_refused = seen.evidence == upstream_evidence::said_leaving ||
                            seen.evidence == upstream_evidence::said_overloaded;
    if (is_refused) {
        return {result_code::not_run_refused_by_upstream,
                "HTTP status " + std::to_string(answer->status)};
    }
    if (answer->status >= first_server_error) {
        return {result_code::failed_by_upstream,
                "HTTP status " + std::to_string(answer->status)};
    }
    return {};
}

bool may_try_again(const failure& reason, bool is_idempotent) {
    const result_class kind = classify(reason.code);
    return kind == result_class::not_run ||
           (is_idempotent && kind != result_class::complete);
}

/// One run over as many upstreams as the rules allow.
asio::awaitable<outcome<http_response>>
run_call(http_exchange& exchange, const caller_request& request,
         std::string path, bool is_idempotent, traffic_services& services) {
    const auto pass = co_await services.gate.enter(
        request, 1, services.contexts.at(exchange.worker()));
    if (!pass) {
        co_return pass.reason();
    }
    const retry_rule& rule = request.service->document->retries;
    upstream_attempt attempt(services, request);
    failure last{result_code::not_run_no_upstream, "nobody was tried"};
    while (attempt.count() < rule.max_attempts) {
        const auto choice = attempt.begin(0, 0);
        if (!choice) {
            co_return attempt.count() == 0 ? choice.reason() : last;
        }
        call_evidence seen;
        http_request message = to_upstream(exchange.request(), path, request);
        upstream_client& client = *services.clients[exchange.worker()];
        const endpoint address = choice->upstream->address;
        auto answer = co_await client.call(
            address, std::move(message), request.deadline, is_idempotent, seen);
        last = judge(answer, seen);
        attempt.finish(seen, false);
        if (last.code == result_code::ok) {
            co_return answer;
        }
        const bool has_time =
            std::chrono::steady_clock::now() < request.deadline;
        if (!may_try_again(last, is_idempotent) || !has_time) {
            break;
        }
    }
    co_return last;
}

recorded_answer to_record(const http_response& answer) {
    return {
        .code = result_code::ok,
        .status = answer.status,
        .content_type = std::string(answer.header("Content-Type")),
        .body = answer.body,
    };
}

http_response to_response(const recorded_answer& record, const request_id& id,
                          const instance_id& instance) {
    http_response answer{
        .status = record.status,
        .headers = make_answer_headers(id, record.code, instance),
        .body = record.body,
    };
    if (!record.content_type.empty()) {
        answer.headers.push_back({"Content-Type", record.content_type});
    }
    return answer;
}

/// What a decision of the ledger other than `run` tells the caller.
outcome<recorded_answer> answer_of(const key_decision& decision) {
    if (decision.verdict == key_verdict::answer_from_record &&
        decision.record.answer) {
        return *decision.record.answer;
    }
    switch (decision.verdict) {
    case key_verdict::full:
        return failure{result_code::not_run_overloaded,
                       "too many keys are running"};
    case key_verdict::in_progress:
        return failure{result_code::unknown_in_progress,
                       "an earlier attempt is still running"};
    case key_verdict::ask:
        return failure{result_code::unknown_attempt_not_remembered,
                       "no instance remembers the earlier attempt"};
    default:
        break;
    }
    const result_code code = code_of(decision.record);
    return failure{code == result_code::ok
                       ? result_code::unknown_attempt_not_remembered
                       : code,
                   "as recorded for this key"};
}

/// Runs a call that must not run twice, under its key.
asio::awaitable<outcome<recorded_answer>>
run_once(http_exchange& exchange, const caller_request& request,
         std::string path, traffic_services& services) {
    if (request.key.is_empty()) {
        co_return failure{result_code::not_run_key_required,
                          "send an Idempotency-Key with this call"};
    }
    const call_key key{.service = request.service->document->service,
                       .caller = request.caller->name,
                       .key = request.key};
    const key_decision decision =
        services.keys.begin(key, request.attempt, request.began);
    if (decision.verdict == key_verdict::ask) {
        services.keys.refuse(key, result_code::unknown_attempt_not_remembered,
                             false, request.began);
    }
    if (decision.verdict != key_verdict::run) {
        co_return answer_of(decision);
    }
    auto answer =
        co_await run_call(exchange, request, std::move(path), false, services);
    const steady_time now = std::chrono::steady_clock::now();
    if (!answer) {
        services.keys.fail(key, answer.reason().code, now);
        co_return answer.reason();
    }
    recorded_answer record = to_record(*answer);
    services.keys.finish(key, record, now);
    co_return record;
}

asio::awaitable<outcome<recorded_answer>>
run_idempotent(http_exchange& exchange, const caller_request& request,
               std::string path, traffic_services& services) {
    auto answer =
        co_await run_call(exchange, request, std::move(path), true, services);
    if (!answer) {
        co_return answer.reason();
    }
    co_return to_record(*answer);
}

} // namespace

asio::awaitable<void> serve_plain_call(http_exchange& exchange,
                                       caller_request request, std::string path,
                                       traffic_services& services) {
    const std::string_view plain_path =
        std::string_view(path).substr(0, path.find('?'));
    const bool is_idempotent =
        request.service->document->is_idempotent(plain_path);
    // No conditional expression around co_await: GCC 12 destroys the result
    // of one twice.
    std::optional<outcome<recorded_answer>> ended;
    if (is_idempotent) {
        ended = co_await run_idempotent(exchange, request, path, services);
    } else {
        ended = co_await run_once(exchange, request, path, services);
    }
    const outcome<recorded_answer>& answer = *ended;
    note_end(services, request.id, answer.reason());
    http_response response =
        answer ? to_response(*answer, request.id, services.instance)
               : make_failure_answer(request.id, answer.reason(),
                                     services.instance);
    co_await exchange.respond(std::move(response));
}

} // namespace savorydock
