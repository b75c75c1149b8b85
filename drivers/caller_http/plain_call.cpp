#include "drivers/caller_http/plain_call.hpp"

#include "drivers/caf_runtime/pending_answer.hpp"
#include "drivers/caller_http/admission_gate.hpp"
#include "drivers/caller_http/request_lifecycle.hpp"
#include "drivers/caller_http/suspect_guard.hpp"
#include "drivers/caller_http/upstream_attempt.hpp"

#include <array>
#include <optional>

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds run_right_margin{1'000};

/// Builds the request to the upstream, without its body. Of the caller's
/// headers, only those in `passed` are forwarded.
http_request make_upstream_request(const http_request& source,
                                   const std::string& path,
                                   const caller_request& request) {
    http_request target{.method = source.method, .target = path};
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

/// Derives how the connection failed from the result code of the client.
connection_fault fault_of(result_code code) {
    switch (code) {
    case result_code::not_run_no_upstream:
        return connection_fault::refused;
    case result_code::not_run_deadline:
        return connection_fault::connect_timed_out;
    case result_code::unknown_deadline:
        return connection_fault::timed_out_after_send;
    case result_code::failed_truncated:
        return connection_fault::closed_in_answer;
    default:
        return connection_fault::closed_after_send;
    }
}

run_classification classify_answer(const outcome<http_response>& answer) {
    return answer ? classify_status(answer->status, service_kind::plain)
                  : classify_fault(fault_of(answer.reason().code));
}

std::string describe_answer(const outcome<http_response>& answer) {
    return answer ? "HTTP status " + std::to_string(answer->status)
                  : answer.reason().detail;
}

recorded_answer to_record(http_response answer, result_code code) {
    return {
        .code = code,
        .status = answer.status,
        .content_type = std::string(answer.header("Content-Type")),
        .body = std::move(answer.body),
    };
}

/// Sends the request to one upstream.
asio::awaitable<outcome<http_response>>
call_upstream(http_exchange& exchange, const caller_request& request,
              std::string path, bool is_idempotent, endpoint address,
              call_evidence& seen, traffic_services& services) {
    http_request message =
        make_upstream_request(exchange.request(), path, request);
    upstream_client& client = *services.clients[exchange.worker()];
    co_return co_await client.call(std::move(address), std::move(message),
                                   exchange.request().body, request.deadline,
                                   is_idempotent, seen);
}

/// Runs one request, trying as many upstreams as the retry rules allow. An
/// error response from an upstream counts as an answer; its code marks it as
/// an error.
asio::awaitable<outcome<recorded_answer>>
run_call(http_exchange& exchange, const caller_request& request,
         std::string path, bool is_idempotent, request_lifecycle& lifecycle,
         traffic_services& services) {
    const auto pass = co_await services.gate.enter(
        request, 1, services.contexts.at(exchange.worker()));
    if (!pass) {
        lifecycle.fire("refuse");
        co_return pass.reason();
    }
    const service_document& document = *request.service->document;
    suspect_guard guard(services, request, path + exchange.request().body,
                        exchange.worker());
    upstream_attempt attempt(services, request, guard.excluded());
    request_retries retries({.is_idempotent = is_idempotent,
                             .max_attempts = document.retries.max_attempts,
                             .deadline = request.deadline});
    const auto budget =
        services.budgets.of(document.service, document.retries.budget);
    budget->earn();
    while (true) {
        const auto choice = attempt.begin(0, 0);
        if (!choice) {
            const result_code code = retries.final_code(choice.reason().code);
            lifecycle.fire(end_event_of(classify(code)));
            co_return failure{code, choice.reason().detail};
        }
        lifecycle.fire("pick_upstream");
        const auto entered = co_await guard.enter(choice->upstream->name);
        if (!entered) {
            attempt.finish({}, true);
            const result_code code = retries.final_code(entered.reason().code);
            lifecycle.fire(end_event_of(classify(code)));
            co_return failure{code, entered.reason().detail};
        }
        call_evidence seen;
        auto answer =
            co_await call_upstream(exchange, request, path, is_idempotent,
                                   choice->upstream->address, seen, services);
        const run_classification classification = classify_answer(answer);
        guard.leave(answer ? result_code::ok : answer.reason().code);
        attempt.finish(seen, false);
        const bool is_sent =
            answer || classify(answer.reason().code) != result_class::not_run;
        if (is_sent) {
            lifecycle.fire("hand_bytes");
        }
        if (classification.code == result_code::ok) {
            lifecycle.fire("receive");
            lifecycle.fire("finish");
            co_return to_record(std::move(*answer), result_code::ok);
        }
        const retry_decision decision = retries.decide(
            classification, *budget, std::chrono::steady_clock::now());
        if (decision.is_retry) {
            lifecycle.fire("retry");
            continue;
        }
        if (answer && classification.execution == execution_state::answered) {
            lifecycle.fire("receive");
            lifecycle.fire("finish");
            co_return to_record(std::move(*answer), decision.code);
        }
        lifecycle.fire(end_event_of(classify(decision.code)));
        co_return failure{decision.code, describe_answer(answer)};
    }
}

http_response to_response(recorded_answer record, const request_id& id,
                          const instance_id& instance) {
    http_response answer{
        .status = record.status,
        .headers = make_answer_headers(id, record.code, instance),
        .body = std::move(record.body),
    };
    if (!record.content_type.empty()) {
        answer.headers.push_back({"Content-Type", record.content_type});
    }
    return answer;
}

/// Returns the result for a ledger decision other than `run` and
/// `acquire_right`.
outcome<recorded_answer> answer_from(const key_decision& decision) {
    if (decision.verdict == key_verdict::full) {
        return failure{result_code::not_run_overloaded,
                       "too many keys are running"};
    }
    if (decision.verdict == key_verdict::in_progress) {
        return failure{result_code::unknown_in_progress,
                       "an earlier sending is still running"};
    }
    if (decision.record.answer) {
        return *decision.record.answer;
    }
    return failure{code_of(decision.record), "as recorded for this key"};
}

/// Acquires the right to run a key, by a claim or from the other instances.
/// Returns an empty optional if the call may run, otherwise the result to
/// respond with.
asio::awaitable<std::optional<outcome<recorded_answer>>>
acquire_run_right(const caller_request& request, const call_key& key,
                  std::size_t worker, traffic_services& services) {
    const auto pending = std::make_shared<pending_answer<run_right_result>>(
        services.contexts.at(worker).get().get_executor());
    services.decisions.add(
        request.id.text(),
        {.kind = request.attempt == 0 ? decision_kind::claimed
                                      : decision_kind::asked_peers,
         .detail = "key=" + key.key.text() +
                   " attempt=" + std::to_string(request.attempt)},
        std::chrono::steady_clock::now());
    services.delivery.submit(run_right_query{
        .key = key,
        .attempt = request.attempt,
        .last_instance = request.last_instance,
        .deadline = request.deadline,
        .done = [answer = pending->handler()](const run_right_result& found) {
            answer(found);
        }});
    // The attempt gate answers by the deadline; the margin allows for the
    // transfer of its answer to this thread.
    const auto found =
        co_await pending->wait(request.deadline + run_right_margin);
    std::optional<outcome<recorded_answer>> result;
    if (!found) {
        result = failure{result_code::unknown_in_progress,
                         "the right to run is still being sought"};
    } else if (!found->may_run && found->answer) {
        result = *found->answer;
    } else if (!found->may_run) {
        result = failure{found->code, "the right to run was not found"};
    }
    co_return result;
}

/// Returns the chart event for an attempt that is not run but gets the result
/// of an earlier one.
std::string_view replay_event_of(const outcome<recorded_answer>& replayed) {
    if (replayed || classify(replayed.reason().code) == result_class::failed) {
        return "replay";
    }
    return end_event_of(classify(replayed.reason().code));
}

/// Runs a non-idempotent call at most once per idempotency key.
asio::awaitable<outcome<recorded_answer>>
run_keyed_call(http_exchange& exchange, const caller_request& request,
               std::string path, request_lifecycle& lifecycle,
               traffic_services& services) {
    if (request.key.is_empty()) {
        lifecycle.fire("refuse");
        co_return failure{result_code::not_run_key_required,
                          "send an Idempotency-Key with this call"};
    }
    const call_key key{.service = request.service->document->service,
                       .caller = request.caller->name,
                       .key = request.key};
    const key_decision decision =
        services.keys.begin(key, request.attempt, request.began);
    if (decision.verdict == key_verdict::acquire_right) {
        lifecycle.fire("ask_right");
        const auto replayed = co_await acquire_run_right(
            request, key, exchange.worker(), services);
        if (replayed) {
            lifecycle.fire(replay_event_of(*replayed));
            co_return *replayed;
        }
        lifecycle.fire("gain_right");
    } else if (decision.verdict != key_verdict::run) {
        const auto replayed = answer_from(decision);
        lifecycle.fire(replay_event_of(replayed));
        co_return replayed;
    } else {
        lifecycle.fire("enqueue");
    }
    const auto answer = co_await run_call(exchange, request, std::move(path),
                                          false, lifecycle, services);
    const steady_time now = std::chrono::steady_clock::now();
    if (answer) {
        services.keys.finish(key, *answer, now);
    } else {
        services.keys.fail(key, answer.reason().code, now);
    }
    co_return answer;
}

failure final_result(const outcome<recorded_answer>& answer) {
    if (!answer) {
        return answer.reason();
    }
    return {answer->code, "HTTP status " + std::to_string(answer->status)};
}

} // namespace

asio::awaitable<void> serve_plain_call(http_exchange& exchange,
                                       caller_request request, std::string path,
                                       traffic_services& services) {
    const std::string_view plain_path =
        std::string_view(path).substr(0, path.find('?'));
    const bool is_idempotent =
        request.service->document->is_idempotent(plain_path);
    // Not a conditional expression: GCC 12 destroys the result of a co_await
    // within one twice.
    request_lifecycle lifecycle(services.request_chart,
                                services.chart_violations);
    std::optional<outcome<recorded_answer>> ended;
    if (is_idempotent) {
        lifecycle.fire("enqueue");
        ended = co_await run_call(exchange, request, path, true, lifecycle,
                                  services);
    } else {
        ended = co_await run_keyed_call(exchange, request, path, lifecycle,
                                        services);
    }
    outcome<recorded_answer>& answer = *ended;
    record_end(services, request, final_result(answer));
    http_response response =
        answer ? to_response(std::move(*answer), request.id, services.instance)
               : make_failure_answer(request.id, answer.reason(),
                                     services.instance);
    co_await exchange.respond(std::move(response));
}

} // namespace savorydock
