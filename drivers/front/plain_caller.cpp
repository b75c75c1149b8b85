#include "drivers/front/plain_caller.hpp"

#include "drivers/front/attempt_log.hpp"
#include "drivers/front/leaving_notice.hpp"
#include "drivers/front/open_request.hpp"
#include "drivers/front/placed_call.hpp"
#include "drivers/front/request_limit.hpp"
#include "platform/request_codec.hpp"
#include "servers/delivery/request_fingerprint.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <set>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// An attempt is abandoned in favour of another one after this many target
/// latencies of its route or typical call times of its upstream, whichever is
/// longer.
constexpr int attempt_time_in_targets = 2;
constexpr int attempt_time_in_calls = 6;
/// The same for urgent calls, on which a trainer's whole group waits: a
/// multiple of the typical call time, with a minimum for short calls.
constexpr int urgent_attempt_time_in_calls = 3;
constexpr std::chrono::milliseconds min_urgent_attempt_time{300};
/// Limit on sends per call. It includes sends that no upstream started, which
/// don't count as attempts.
constexpr std::uint32_t max_sends = 8;
/// Time reserved before the caller's deadline for sending the answer back.
constexpr std::chrono::milliseconds answer_margin{15};

constexpr unsigned status_server_error = 500;
constexpr unsigned status_misdirected = 421;

bool is_success(unsigned status) {
    return status >= 200 && status < 300;
}

/// Returns the time by which the call must have ended.
steady_time end_of(const plain_call_request& call) {
    return call.exit == nullptr ? call.deadline
                                : call.exit->answer_by(call.deadline);
}

bool is_blocked(const plain_call_request& call) {
    return call.guard != nullptr && call.guard->is_blocked();
}

bool is_allowed(const plain_call_request& call) {
    return !call.is_allowed || call.is_allowed();
}

bool is_wanted(const plain_call_request& call) {
    return !call.is_wanted || call.is_wanted();
}

} // namespace

struct plain_caller::attempt_result {
    std::optional<http_response> answer;
    bool may_have_run = false;
    failure reason;
};

plain_caller::attempt_result plain_caller::make_failed(bool may_have_run,
                                                       failure reason) {
    return {.may_have_run = may_have_run, .reason = std::move(reason)};
}

plain_caller::plain_caller(http_client& client, fleet_state& fleet,
                           random_source& random, logger& log)
    : client_(client)
    , fleet_(fleet)
    , random_(random)
    , log_(log) {}

steady_time plain_caller::attempt_deadline(const plain_call_request& call,
                                           const upstream_entry& upstream,
                                           std::uint32_t attempts_left,
                                           steady_time now) const {
    if (call.route.kind != request_kind::idempotent || attempts_left <= 1) {
        return end_of(call);
    }
    const auto typical = fleet_.pool.smoothed_call_time(upstream.id);
    const auto attempt_time =
        call.is_urgent
            ? std::max<std::chrono::microseconds>(
                  min_urgent_attempt_time,
                  typical * urgent_attempt_time_in_calls)
            : std::max<std::chrono::microseconds>(
                  call.route.target_latency * attempt_time_in_targets,
                  typical * attempt_time_in_calls);
    return std::min(end_of(call), now + attempt_time);
}

asio::awaitable<plain_caller::attempt_result> plain_caller::try_upstream(
    const plain_call_request& call, const upstream_entry& upstream,
    const call_cost* cost, steady_time deadline, run_notice& notice) {
    platform::forwarding_metadata metadata{.upstream = upstream.id,
                                           .organisation = call.organisation,
                                           .strips_credentials =
                                               call.strips_credentials};
    if (call.must_forward_deadline) {
        metadata.time_left =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                call.deadline - std::chrono::steady_clock::now());
    }
    placed_call guard(fleet_.pool, upstream.id, cost);
    attempt_log attempt(fleet_, log_, "call", call.id, upstream.id);
    http_request request = platform::forward_request(call.request, metadata);
    call_options options{
        .use = call.route.kind == request_kind::idempotent
                   ? connection_use::reuse
                   : connection_use::fresh,
        .body = call.request.body,
        .may_write =
            [this, &call, &upstream, &notice] {
                const bool may_write = fleet_.pool.is_available(upstream.id) &&
                                       is_allowed(call) && is_wanted(call);
                if (may_write) {
                    notice.on_written();
                }
                return may_write;
            },
        .is_own_answer =
            [&call](const http_headers& headers) {
                return platform::may_answer(
                    call.id, platform::decode_answer_metadata(headers));
            },
        .trace = attempt.trace()};
    auto answer = co_await client_.call(upstream.address, std::move(request),
                                        deadline, std::move(options));
    if (!answer) {
        guard.end(call_outcome::failed);
        attempt.on_failed(answer.reason());
        const bool may_have_begun =
            classify(answer.reason().code) != result_class::not_run;
        co_return make_failed(may_have_begun, answer.reason());
    }
    attempt.on_answered();
    const auto answer_metadata =
        platform::decode_answer_metadata(answer->headers);
    record_request_limit(fleet_, upstream.id, answer_metadata, log_);
    record_leaving(fleet_, upstream.id, upstream.address, answer_metadata,
                   client_, log_);
    if (answer_metadata.is_not_run || answer->status == status_misdirected) {
        guard.end(answer->status == status_misdirected ? call_outcome::failed
                                                       : call_outcome::full);
        co_return make_failed(
            false, failure{result_code::not_run_refused_by_upstream,
                           "status " + std::to_string(answer->status)});
    }
    // A valid success has a signature and no content encoding.
    const bool is_invalid_success =
        is_success(answer->status) &&
        (answer_metadata.stamp.empty() ||
         !answer->header("Content-Encoding").empty());
    if (is_invalid_success) {
        guard.end(call_outcome::failed);
        co_return make_failed(
            true, failure{result_code::failed_by_upstream,
                          "a success without the upstream's signature"});
    }
    guard.end(answer->status >= status_server_error
                  ? call_outcome::answered_with_error
                  : call_outcome::answered);
    attempt_result result{.answer = std::move(*answer), .may_have_run = true};
    co_return result;
}

bool plain_caller::may_send(const plain_call_request& call,
                            const upstream_entry& upstream) const {
    return call.exit == nullptr ||
           call.exit->may_send(
               {.kind = call.route.kind,
                .deadline = call.deadline,
                .usual_time = std::max<std::chrono::microseconds>(
                    call.route.target_latency,
                    fleet_.pool.smoothed_call_time(upstream.id))},
               std::chrono::steady_clock::now());
}

std::optional<plain_caller::reserved_upstream> plain_caller::reserve_upstream(
    const plain_call_request& call, const service_name& service,
    const call_cost* cost, std::set<upstream_id>& tried,
    plain_call_result& result) {
    const steady_time now = std::chrono::steady_clock::now();
    auto upstream = fleet_.pool.choose(service, tried, now, nullptr, cost);
    if (!upstream && call.route.kind == request_kind::idempotent &&
        result.attempts > 0) {
        tried.clear();
        upstream = fleet_.pool.choose(service, tried, now, nullptr, cost);
    }
    const steady_time end = end_of(call);
    if (!upstream || now >= end) {
        return std::nullopt;
    }
    const steady_time latest =
        call.max_limit_wait ? std::min(end, now + *call.max_limit_wait) : end;
    const auto send_at =
        reserve_request(fleet_.pool, upstream->id, latest, now);
    if (!send_at) {
        result.reason = {result_code::not_run_limit,
                         "the request limits of the upstreams are used up"};
        result.retry_after =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                fleet_.pool.limits().next_send_time(upstream->id, now) - now);
        return std::nullopt;
    }
    return reserved_upstream{.upstream = std::move(*upstream),
                             .send_at = *send_at};
}

asio::awaitable<plain_call_result> plain_caller::call(plain_call_request call) {
    call.deadline -= answer_margin;
    const service_name service = pick_service(call.route, random_);
    const open_request counted(fleet_, service);
    const bool is_repeatable = call.route.kind == request_kind::idempotent;
    const std::uint32_t max_attempts =
        is_repeatable ? std::max<std::uint32_t>(1, call.route.max_attempts) : 1;
    plain_call_result result{.reason = {result_code::not_run_no_upstream,
                                        "the service has no upstream"}};
    std::set<upstream_id> tried;
    const auto estimate = estimate_cost(
        fleet_.pool, service,
        {.route = call.route.name, .organisation = call.organisation},
        call.request);
    const call_cost* const cost = estimate ? &*estimate : nullptr;
    run_notice notice(fleet_, call.organisation,
                      co_await asio::this_coro::executor);
    for (std::uint32_t sends = 0; sends < max_sends; ++sends) {
        if (is_blocked(call)) {
            result.reason = {result_code::not_run_suspect_request,
                             "several upstreams crashed while they ran it"};
            break;
        }
        const auto reserved =
            reserve_upstream(call, service, cost, tried, result);
        if (!reserved) {
            break;
        }
        const upstream_entry& upstream = reserved->upstream;
        co_await wait_until(reserved->send_at);
        if (!is_wanted(call)) {
            result.reason = {result_code::not_run_cancelled,
                             "the answer isn't needed any more"};
            break;
        }
        // Both may have changed while the call waited.
        if (!fleet_.pool.is_available(upstream.id) || is_blocked(call)) {
            continue;
        }
        if (!is_allowed(call)) {
            result.reason = {result_code::not_run_unauthorized,
                             "the key can't be confirmed now"};
            break;
        }
        if (!may_send(call, upstream)) {
            result.reason = {result_code::not_run_draining,
                             "the instance exits before it would be answered"};
            result.is_exiting = true;
            break;
        }
        tried.insert(upstream.id);
        const steady_time attempt_end =
            attempt_deadline(call, upstream, max_attempts - result.attempts,
                             std::chrono::steady_clock::now());
        attempt_result attempt =
            co_await try_upstream(call, upstream, cost, attempt_end, notice);
        notice.on_outcome(attempt.may_have_run);
        if (call.guard != nullptr && attempt.answer) {
            call.guard->on_answered();
        } else if (call.guard != nullptr) {
            call.guard->on_failed(upstream, attempt.reason.code);
        }
        result.may_have_run = result.may_have_run || attempt.may_have_run;
        result.attempts += attempt.may_have_run ? 1 : 0;
        if (attempt.may_have_run) {
            call.is_allowed = nullptr;
        }
        result.reason = attempt.reason;
        if (attempt.answer) {
            const bool is_failure =
                attempt.answer->status >= status_server_error;
            result.failures +=
                attempt.answer->status == status_server_error ? 1 : 0;
            result.answer = std::move(attempt.answer);
            if (!is_failure) {
                co_return result;
            }
        }
        if (attempt.may_have_run &&
            (!is_repeatable || result.attempts >= max_attempts)) {
            break;
        }
        log_.write(log_event::request_retried,
                   "request=" + call.id +
                       " fingerprint=" + fingerprint_of(call.request) +
                       " route=" + call.route.name +
                       " upstream=" + upstream.id.text() + " attempts=" +
                       std::to_string(result.attempts) + " reason=\"" +
                       (result.answer
                            ? "status " + std::to_string(result.answer->status)
                            : attempt.reason.detail) +
                       '"');
    }
    co_return result;
}

} // namespace savorydock
