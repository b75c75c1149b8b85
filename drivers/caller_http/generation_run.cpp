#include "drivers/caller_http/generation_run.hpp"

#include "drivers/caller_http/admission_gate.hpp"
#include "drivers/caller_http/suspect_guard.hpp"

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <optional>

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr std::size_t hashed_prefix_bytes = 256;

generation_call make_call(const generation_task& task,
                          const caller_request& request,
                          const answer_assembler& answer) {
    return {
        .stream = task.stream,
        .attempt = answer.attempt(),
        .prompt = task.prompt,
        .max_tokens = task.max_tokens,
        .seed = task.seed,
        .resume_from = answer.next_token(),
        .resume_text = answer.text(),
        .priority = request.service_class->priority,
    };
}

failure evaluate_answer(const answer_assembler& answer, const failure& ended) {
    switch (answer.verdict()) {
    case answer_verdict::complete:
        return {};
    case answer_verdict::mismatched:
        return {result_code::failed_by_upstream,
                "the stream carried another request's answer"};
    case answer_verdict::duplicated:
        return {result_code::failed_by_upstream,
                "the stream carried tokens twice"};
    default:
        break;
    }
    return ended.code == result_code::ok
               ? failure{result_code::failed_truncated,
                         "the answer has no finish mark"}
               : ended;
}

/// Runs one attempt on one upstream.
asio::awaitable<failure>
run_attempt(const generation_task& task, const caller_request& request,
            endpoint address, std::size_t worker, answer_assembler& answer,
            traffic_services& services, call_evidence& seen) {
    auto sink = [&](const stream_event& event) -> asio::awaitable<bool> {
        if (!answer.accept(event)) {
            co_return answer.verdict() == answer_verdict::open;
        }
        co_return co_await task.sink(event);
    };
    upstream_client& client = *services.clients[worker];
    upstream_client::event_sink event_sink = sink;
    generation_call call = make_call(task, request, answer);
    const auto result =
        co_await client.generate(std::move(address), std::move(call),
                                 request.deadline, std::move(event_sink), seen);
    answer.end_stream();
    co_return evaluate_answer(answer, result.reason());
}

/// Reports "not run" only if no earlier attempt can have begun on an upstream.
failure reconcile_failures(const failure& reason, const failure& begun) {
    const bool is_contradicted =
        classify(reason.code) == result_class::not_run &&
        begun.code != result_code::ok;
    return is_contradicted
               ? failure{begun.code, begun.detail + "; then " + reason.detail}
               : reason;
}

void fire(const generation_task& task, std::string_view event) {
    if (task.lifecycle != nullptr) {
        task.lifecycle->fire(event);
    }
}

bool is_final(const failure& reason) {
    return reason.code == result_code::ok ||
           reason.code == result_code::cancelled_by_caller ||
           reason.code == result_code::unknown_deadline ||
           reason.code == result_code::not_run_deadline;
}

void record_resume(const generation_task& task, const caller_request& request,
                   const failure& reason, std::uint32_t next_token,
                   traffic_services& services) {
    const std::string detail =
        "stream=" + task.stream + " from_token=" + std::to_string(next_token);
    services.decisions.add(
        request.id.text(),
        {.kind = decision_kind::resumed, .code = reason.code, .detail = detail},
        std::chrono::steady_clock::now());
    services.log.write(log_event::request_resumed,
                       "request=" + request.id.text() + ' ' + detail);
}

} // namespace

std::uint64_t hash_prefix(const std::string& prompt) {
    const std::size_t length = std::min(prompt.size(), hashed_prefix_bytes);
    return boost::hash_range(
        prompt.begin(), prompt.begin() + static_cast<std::ptrdiff_t>(length));
}

asio::awaitable<outcome<done>> run_generation(const generation_task& task,
                                              const caller_request& request,
                                              std::size_t worker,
                                              answer_assembler& answer,
                                              traffic_services& services) {
    const auto pass =
        co_await services.gate.enter(request, 1, services.contexts.at(worker));
    if (!pass) {
        fire(task, "refuse");
        co_return pass.reason();
    }
    const service_document& document = *request.service->document;
    std::optional<suspect_guard> guard;
    std::vector<upstream_id> excluded = task.excluded;
    if (task.may_be_blocked) {
        guard.emplace(services, request, task.prompt, worker);
        const auto lost = guard->excluded();
        excluded.insert(excluded.end(), lost.begin(), lost.end());
    }
    upstream_attempt attempt(services, request, std::move(excluded));
    const auto budget =
        services.budgets.of(document.service, document.retries.budget);
    budget->earn();
    failure last{result_code::not_run_no_upstream, "nobody was tried"};
    // The result of the last attempt that an upstream may have begun to run.
    failure begun;
    while (attempt.count() < document.retries.max_attempts) {
        const auto choice =
            attempt.begin(task.prefix_hash, task.expected_tokens);
        if (!choice) {
            const failure reason = reconcile_failures(
                attempt.count() == 0 ? choice.reason() : last, begun);
            fire(task, end_event_of(classify(reason.code)));
            co_return reason;
        }
        fire(task, "pick_upstream");
        if (guard) {
            const auto entered = co_await guard->enter(choice->upstream->name);
            if (!entered) {
                attempt.finish({}, true);
                const failure reason =
                    reconcile_failures(entered.reason(), begun);
                fire(task, end_event_of(classify(reason.code)));
                co_return reason;
            }
        }
        if (task.on_upstream) {
            task.on_upstream(choice->upstream->name);
        }
        call_evidence seen;
        const endpoint address = choice->upstream->address;
        last = co_await run_attempt(task, request, address, worker, answer,
                                    services, seen);
        if (guard) {
            guard->leave(last.code);
        }
        attempt.finish(seen, false);
        if (classify(last.code) != result_class::not_run) {
            fire(task, "hand_bytes");
            begun = last;
        }
        if (last.code == result_code::ok) {
            fire(task, "receive");
            fire(task, "finish");
            co_return done{};
        }
        const bool is_moved = last.code == result_code::cancelled_by_caller &&
                              task.must_move && task.must_move();
        // The step schedule limits moves to another upstream, so they don't
        // use the retry budget.
        if (!is_moved && (is_final(last) || !budget->try_spend())) {
            break;
        }
        const attempt_number next = task.next_attempt();
        if (next == 0 || !answer.resume(next)) {
            break;
        }
        fire(task,
             classify(last.code) == result_class::not_run ? "retry" : "resume");
        record_resume(task, request, last, answer.next_token(), services);
    }
    const failure reason = reconcile_failures(last, begun);
    fire(task, end_event_of(classify(reason.code)));
    co_return reason;
}

} // namespace savorydock
