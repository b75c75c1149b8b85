#include "drivers/front/front_service.hpp"

#include "core/utf8.hpp"
#include "platform/batch_codec.hpp"
#include "servers/batch/item_check.hpp"
#include "servers/delivery/request_fingerprint.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <variant>

namespace savorydock {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr unsigned status_accepted = 202;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

/// When a refused caller should retry: upstreams and the store usually recover
/// in well under a second.
constexpr std::chrono::milliseconds retry_after{250};
/// The same if request limits of upstreams prevented the call, at most: another
/// instance may have room sooner than this one.
constexpr std::chrono::milliseconds max_limit_retry_after{1'000};
/// Limit for settling a submission whose outcome is unknown; its sender waits
/// that long before it submits the job again.
constexpr std::chrono::milliseconds max_accept_time{4'000};
/// Time limit for requests that state no deadline.
constexpr std::chrono::milliseconds default_time_limit{30'000};
/// Time before the exit for the answers to requests that still run. Calls to
/// upstreams end a little earlier by themselves, with a more precise answer.
constexpr std::chrono::milliseconds exit_answer_time{50};
/// Time reserved for sending the answer back to the caller.
constexpr std::chrono::milliseconds answer_margin{15};

steady_time now() {
    return std::chrono::steady_clock::now();
}

std::int64_t wall_milliseconds() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string to_word(request_kind kind) {
    switch (kind) {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::at_most_once:
        return "at_most_once";
    case request_kind::stream:
        return "stream";
    case request_kind::batch:
        return "batch";
    case request_kind::sample_batch:
        return "sample_batch";
    }
    return "unlisted";
}

std::string to_word(stream_end end) {
    switch (end) {
    case stream_end::complete:
        return "complete";
    case stream_end::cut:
        return "cut";
    case stream_end::caller_gone:
        return "caller_gone";
    case stream_end::failed:
        return "failed";
    case stream_end::refused:
        return "refused";
    case stream_end::unknown:
        return "unknown";
    }
    return "unlisted";
}

} // namespace

front_service::front_service(fleet_state& fleet, plain_caller& plain,
                             stream_forwarder& streams, job_store& jobs,
                             suspect_list& suspects, metrics_registry& metrics,
                             logger& log, job_listener on_job)
    : fleet_(fleet)
    , plain_caller_(plain)
    , streams_(streams)
    , jobs_(jobs)
    , suspects_(suspects)
    , metrics_(metrics)
    , log_(log)
    , on_job_(std::move(on_job))
    , authenticator_(fleet, log)
    , job_calls_(
          fleet, authenticator_, jobs, exit_,
          [this](const job_id& job) { notify_job_listener(job); }, log) {}

void front_service::set_exit_time(steady_time time) {
    exit_.set_exit_time(time);
    streams_.set_exit_time(time);
    last_answer_at_ = time - exit_answer_time;
    if (exit_timer_) {
        exit_timer_->expires_at(last_answer_at_);
    }
}

asio::awaitable<void> front_service::wait_for_exit(http_exchange& exchange) {
    if (!exit_timer_) {
        exit_timer_.emplace(co_await asio::this_coro::executor,
                            last_answer_at_);
    }
    while (now() < last_answer_at_) {
        co_await exit_timer_->async_wait(asio::as_tuple(asio::use_awaitable));
        const auto state = co_await asio::this_coro::cancellation_state;
        if (state.cancelled() != asio::cancellation_type::none) {
            co_return;
        }
    }
    if (exchange.has_begun()) {
        asio::steady_timer never(co_await asio::this_coro::executor,
                                 steady_time::max());
        co_await never.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> front_service::answer_at_exit(http_exchange& exchange) {
    ++counters_.unknown;
    log_.write(log_event::request_outcome_unknown,
               "target=" + exchange.request().target +
                   " reason=\"the instance exits\"");
    exchange.close_after_answer();
    http_response response = platform::make_local_response(
        status_bad_gateway, "the instance exits; the request may have run");
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> front_service::handle(http_exchange& exchange) {
    // The operator below would wait for the exit if the first call threw.
    const auto serve_safely = [&]() -> asio::awaitable<std::exception_ptr> {
        try {
            co_await serve(exchange);
        } catch (...) {
            co_return std::current_exception();
        }
        co_return nullptr;
    };
    const auto served = co_await (serve_safely() || wait_for_exit(exchange));
    if (served.index() == 1) {
        if (!exchange.has_begun()) {
            co_await answer_at_exit(exchange);
        }
        co_return;
    }
    if (std::get<0>(served)) {
        std::rethrow_exception(std::get<0>(served));
    }
}

asio::awaitable<void> front_service::refuse(http_exchange& exchange,
                                            const std::string& request,
                                            unsigned status,
                                            const std::string& reason) {
    co_await refuse_until(exchange, request, status, reason,
                          status == status_unavailable
                              ? std::optional(retry_after)
                              : std::nullopt);
}

asio::awaitable<void>
front_service::refuse_suspect(http_exchange& exchange,
                              const std::string& request) {
    ++counters_.suspects_refused;
    co_await refuse_until(exchange, request, status_unavailable,
                          "upstreams crashed while they ran this request",
                          suspects_.mark_lifetime());
}

asio::awaitable<void> front_service::refuse_until(
    http_exchange& exchange, const std::string& request, unsigned status,
    const std::string& reason,
    std::optional<std::chrono::milliseconds> retry_time) {
    ++counters_.refused;
    log_.write(log_event::request_refused,
               "request=" + request + " status=" + std::to_string(status) +
                   " configuration=" +
                   (fleet_.routes
                        ? std::to_string(fleet_.routes->configuration().version)
                        : "none") +
                   ' ' + to_text(fleet_.find_view_age()) + " reason=\"" +
                   reason + '"');
    http_response response =
        platform::make_local_response(status, reason, retry_time);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> front_service::serve(http_exchange& exchange) {
    const http_request& request = exchange.request();
    if (const auto job_call = platform::decode_job_call(request)) {
        co_await job_calls_.handle(exchange, *job_call);
        co_return;
    }
    const auto call = platform::decode_call(request);
    // Keeps the routes alive: a new configuration may replace them during the
    // request.
    const auto routes = fleet_.routes;
    if (!routes) {
        co_await refuse(exchange, call.id.text(), status_unavailable,
                        "no configuration yet");
        co_return;
    }
    const route_rule* const route = routes->find(call.host, request.target);
    if (route == nullptr) {
        co_await refuse_unknown_route(exchange, call.id.text());
        co_return;
    }
    const authenticated_caller caller =
        authenticator_.authenticate(request, *routes, route->is_public);
    if (!caller.identity.is_admitted()) {
        ++counters_.refused;
        http_response response = authenticator_.refuse(caller, call.id.text());
        co_await exchange.respond(std::move(response));
        co_return;
    }
    switch (route->kind) {
    case request_kind::idempotent:
    case request_kind::at_most_once:
        co_await forward(exchange, *route, call, caller);
        break;
    case request_kind::stream:
        co_await forward_stream(exchange, *route, call, caller);
        break;
    case request_kind::batch:
    case request_kind::sample_batch:
        co_await accept_job(exchange, *route, call, caller);
        break;
    }
}

asio::awaitable<void>
front_service::refuse_unknown_route(http_exchange& exchange,
                                    const std::string& request) {
    // Callers don't retry after 404, and a route may be missing only here.
    const bool is_final = fleet_.find_view_age().is_current;
    co_await refuse(
        exchange, request, is_final ? status_not_found : status_unavailable,
        is_final ? "no route" : "no route, but the routes may be out of date");
}

asio::awaitable<void>
front_service::forward(http_exchange& exchange, const route_rule& route,
                       const platform::caller_call& call,
                       const authenticated_caller& caller) {
    const steady_time begin = now();
    const auto time_limit =
        std::min(call.max_wait.value_or(default_time_limit), route.timeout);
    crash_guard guard(suspects_, exchange.request(), call.id.text(), log_);
    // Watches the caller's connection during the call: if the caller
    // disconnects, the upstream connection is closed and the upstream drops the
    // request.
    plain_call_request plain{.route = route,
                             .request = exchange.request(),
                             .id = call.id.text(),
                             .organisation = caller.identity.organisation,
                             .strips_credentials = caller.strips_credentials,
                             .deadline = begin + time_limit,
                             .guard = &guard,
                             .exit = &exit_,
                             .is_allowed = caller.is_allowed};
    auto outcome = co_await (plain_caller_.call(std::move(plain)) ||
                             exchange.wait_for_disconnect());
    const auto cancellation = co_await asio::this_coro::cancellation_state;
    if (cancellation.cancelled() != asio::cancellation_type::none) {
        co_return;
    }
    if (outcome.index() == 1) {
        ++counters_.callers_gone;
        log_.write(log_event::request_finished, "request=" + call.id.text() +
                                                    " route=" + route.name +
                                                    " outcome=caller_gone");
        co_return;
    }
    plain_call_result result = std::get<0>(std::move(outcome));
    const auto elapsed = now() - begin;
    metrics_.observe({.service = route.services.empty()
                                     ? service_name()
                                     : route.services.front().service,
                      .class_of_service = class_name(to_word(route.kind)),
                      .name = "request_seconds"},
                     elapsed);
    if (result.answer) {
        ++counters_.answered;
        authenticator_.on_served(caller.identity.organisation);
        log_.write(
            log_event::request_finished,
            "request=" + call.id.text() + " route=" + route.name +
                organisation_field(caller.identity.organisation) +
                " outcome=answered status=" +
                std::to_string(result.answer->status) + " attempts=" +
                std::to_string(result.attempts) + " milliseconds=" +
                std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        elapsed)
                        .count()));
        http_response response = std::move(*result.answer);
        response.headers = platform::forward_answer_headers(response.headers);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (result.is_exiting) {
        exchange.close_after_answer();
    }
    if (!result.may_have_run) {
        if (result.reason.code == result_code::not_run_suspect_request) {
            co_await refuse_suspect(exchange, call.id.text());
            co_return;
        }
        co_await refuse_until(
            exchange, call.id.text(), status_unavailable, result.reason.detail,
            std::clamp(result.retry_after.value_or(retry_after), retry_after,
                       max_limit_retry_after));
        co_return;
    }
    ++counters_.unknown;
    const bool is_late = now() + answer_margin >= begin + time_limit;
    log_.write(log_event::request_outcome_unknown,
               "request=" + call.id.text() + " fingerprint=" +
                   fingerprint_of(exchange.request()) + " route=" + route.name +
                   " attempts=" + std::to_string(result.attempts) +
                   " reason=\"" + result.reason.detail + '"');
    http_response response = platform::make_local_response(
        is_late ? status_gateway_timeout : status_bad_gateway,
        "the upstream may have run the request");
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void>
front_service::forward_stream(http_exchange& exchange, const route_rule& route,
                              const platform::caller_call& call,
                              const authenticated_caller& caller) {
    const steady_time deadline =
        now() +
        std::min(call.max_wait.value_or(default_time_limit), route.timeout);
    crash_guard guard(suspects_, exchange.request(), call.id.text(), log_);
    stream_request request{.exchange = exchange,
                           .route = route,
                           .call = call,
                           .guard = guard,
                           .deadline = deadline,
                           .organisation = caller.identity.organisation,
                           .strips_credentials = caller.strips_credentials,
                           .is_allowed = caller.is_allowed};
    stream_result result = co_await streams_.forward(std::move(request));
    const auto cancellation = co_await asio::this_coro::cancellation_state;
    if (cancellation.cancelled() != asio::cancellation_type::none) {
        co_return;
    }
    log_.write(log_event::stream_ended,
               "request=" + call.id.text() + " route=" + route.name +
                   organisation_field(caller.identity.organisation) +
                   " outcome=" + to_word(result.end) +
                   " last_event=" + std::to_string(result.last_event));
    switch (result.end) {
    case stream_end::complete:
        ++counters_.answered;
        authenticator_.on_served(caller.identity.organisation);
        break;
    case stream_end::caller_gone:
        ++counters_.callers_gone;
        break;
    case stream_end::cut:
        // The missing last chunk tells the caller that the stream was cut off.
        ++counters_.unknown;
        break;
    case stream_end::failed: {
        ++counters_.answered;
        http_response response = std::move(*result.answer);
        co_await exchange.respond(std::move(response));
        break;
    }
    case stream_end::refused:
        if (guard.is_blocked()) {
            co_await refuse_suspect(exchange, call.id.text());
            break;
        }
        co_await refuse_until(
            exchange, call.id.text(),
            result.is_invalid ? status_bad_request : status_unavailable,
            result.reason,
            result.is_invalid
                ? std::nullopt
                : std::optional(result.retry_after.value_or(retry_after)));
        break;
    case stream_end::unknown: {
        ++counters_.unknown;
        http_response response = platform::make_local_response(
            status_bad_gateway, "the upstream may have run the request");
        co_await exchange.respond(std::move(response));
        break;
    }
    }
}

asio::awaitable<void>
front_service::accept_job(http_exchange& exchange, const route_rule& route,
                          const platform::caller_call& call,
                          const authenticated_caller& caller) {
    const steady_time begin = now();
    const job_id id(call.id.text());
    if (id.is_empty() || !is_utf8(id.text())) {
        co_await refuse(exchange, "", status_bad_request,
                        "no request id, or one that isn't UTF-8");
        co_return;
    }
    const std::size_t body_bytes = exchange.request().body.size();
    if (!jobs_.is_storable(body_bytes)) {
        ++counters_.jobs_refused;
        co_await refuse(exchange, id.text(), status_unavailable,
                        "the store is not available");
        co_return;
    }
    auto job =
        platform::decode_submission(id, call.host, exchange.request().body);
    if (!job) {
        co_await refuse(exchange, id.text(), status_bad_request,
                        job.reason().detail);
        co_return;
    }
    if (const auto checked = check_items(*job); !checked) {
        co_await refuse(exchange, id.text(), status_bad_request,
                        checked.reason().detail);
        co_return;
    }
    const std::size_t items = job->items.size();
    const bool must_strip =
        caller.strips_credentials && platform::has_credentials(*job);
    // Decoded only to be checked. The store keeps the text.
    *job = batch_job();
    // The encoded text that is sent to the store is larger by a third.
    if (!exchange.reserve_memory(body_bytes / 2)) {
        ++counters_.jobs_refused;
        co_await refuse(exchange, id.text(), status_unavailable,
                        "no memory for the submission");
        co_return;
    }
    job_record record{.id = id,
                      .route = route.name,
                      .host = call.host,
                      .service = route.services.empty()
                                     ? service_name()
                                     : route.services.front().service,
                      .total = static_cast<std::uint32_t>(items),
                      .organisation = caller.identity.organisation,
                      .accepted_at = wall_milliseconds()};
    const auto time_limit =
        std::min(call.max_wait.value_or(max_accept_time), max_accept_time);
    const steady_time deadline = begin + time_limit - answer_margin;
    if (!exit_.may_send({.kind = route.kind, .deadline = deadline}, begin)) {
        ++counters_.jobs_refused;
        exchange.close_after_answer();
        co_await refuse(exchange, id.text(), status_unavailable,
                        "the instance exits");
        co_return;
    }
    std::string submission = exchange.take_body();
    if (must_strip) {
        submission = platform::strip_credentials(submission);
    }
    const accept_end end = co_await jobs_.accept(record, std::move(submission),
                                                 exit_.answer_by(deadline));
    const std::string detail =
        "job=" + id.text() + " route=" + route.name +
        organisation_field(caller.identity.organisation) +
        " items=" + std::to_string(items) + " milliseconds=" +
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(now() - begin)
                .count());
    if (end == accept_end::accepted) {
        ++counters_.jobs_accepted;
        authenticator_.on_served(caller.identity.organisation);
        log_.write(log_event::job_accepted, detail);
        notify_job_listener(id);
        http_response response{.status = status_accepted};
        co_await exchange.respond(std::move(response));
        co_return;
    }
    ++counters_.jobs_refused;
    if (end == accept_end::foreign) {
        authenticator_.on_foreign_job();
        log_.write(log_event::job_refused, detail + " outcome=foreign");
        http_response response =
            platform::make_local_response(status_not_found, "not found");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const bool is_refused = end == accept_end::refused;
    log_.write(log_event::job_refused,
               detail + " outcome=" + (is_refused ? "refused" : "unknown"));
    http_response response =
        is_refused
            ? platform::make_local_response(
                  status_unavailable, "the store is not available", retry_after)
            : platform::make_local_response(status_gateway_timeout,
                                            "the job may have been kept");
    co_await exchange.respond(std::move(response));
}

void front_service::notify_job_listener(const job_id& job) {
    const auto record = jobs_.records().find(job);
    if (record != jobs_.records().end()) {
        on_job_(record->second);
    }
}

} // namespace savorydock
