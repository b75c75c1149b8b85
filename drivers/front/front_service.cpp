#include "drivers/front/front_service.hpp"

#include "drivers/front/request_limit.hpp"
#include "platform/batch_codec.hpp"
#include "servers/delivery/request_fingerprint.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <set>
#include <variant>

namespace savorydock {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr unsigned status_ok = 200;
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
/// Maximum wait for results that a caller may request.
constexpr std::chrono::milliseconds max_read_wait{1'000};
/// Time limit for requests that state no deadline.
constexpr std::chrono::milliseconds default_time_limit{30'000};
/// Time reserved for sending the answer back to the caller.
constexpr std::chrono::milliseconds answer_margin{15};
constexpr std::string_view event_separator = "\n\n";
/// A stream with a longer event is treated as broken.
constexpr std::size_t max_event_bytes = 1U << 20U;

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

http_response make_json(std::string body) {
    return {.status = status_ok,
            .headers = {{"Content-Type", "application/json"}},
            .body = std::move(body)};
}

http_response make_bytes(std::string body) {
    return {.status = status_ok,
            .headers = {{"Content-Type", "application/octet-stream"}},
            .body = std::move(body)};
}

http_response answer_failure(const failure& reason) {
    if (reason.code == result_code::not_found) {
        return platform::make_local_response(status_not_found, "not found");
    }
    return platform::make_local_response(status_unavailable, "state unknown",
                                         retry_after);
}

} // namespace

front_service::front_service(fleet_state& fleet, plain_caller& plain,
                             http_client& streams, job_store& jobs,
                             suspect_list& suspects, metrics_registry& metrics,
                             logger& log, job_listener on_job)
    : fleet_(fleet)
    , plain_caller_(plain)
    , stream_client_(streams)
    , jobs_(jobs)
    , suspects_(suspects)
    , metrics_(metrics)
    , log_(log)
    , on_job_(std::move(on_job)) {}

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
                   " reason=\"" + reason + '"');
    http_response response =
        platform::make_local_response(status, reason, retry_time);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> front_service::handle(http_exchange& exchange) {
    const http_request& request = exchange.request();
    if (const auto job_call = platform::decode_job_call(request)) {
        co_await handle_job_call(exchange, *job_call);
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
        co_await refuse(exchange, call.id.text(), status_not_found, "no route");
        co_return;
    }
    switch (route->kind) {
    case request_kind::idempotent:
    case request_kind::at_most_once:
        co_await forward(exchange, *route, call);
        break;
    case request_kind::stream:
        co_await forward_stream(exchange, *route, call);
        break;
    case request_kind::batch:
    case request_kind::sample_batch:
        co_await accept_job(exchange, *route, call);
        break;
    }
}

asio::awaitable<void>
front_service::forward(http_exchange& exchange, const route_rule& route,
                       const platform::caller_call& call) {
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
                             .deadline = begin + time_limit,
                             .guard = &guard};
    auto outcome = co_await (plain_caller_.call(std::move(plain)) ||
                             exchange.wait_for_disconnect());
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
        log_.write(
            log_event::request_finished,
            "request=" + call.id.text() + " route=" + route.name +
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
                              const platform::caller_call& call) {
    const steady_time deadline =
        now() +
        std::min(call.max_wait.value_or(default_time_limit), route.timeout);
    const service_name service = route.services.empty()
                                     ? service_name()
                                     : route.services.front().service;
    std::set<upstream_id> tried;
    std::optional<std::uint64_t> last_event;
    bool has_begun = false;
    bool may_have_run = false;
    crash_guard guard(suspects_, exchange.request(), call.id.text(), log_);
    const std::uint32_t attempts =
        route.is_resumable ? std::max<std::uint32_t>(1, route.max_attempts) : 1;
    for (std::uint32_t attempt = 0; attempt < attempts;) {
        if (guard.is_blocked()) {
            break;
        }
        const auto upstream = fleet_.pool.choose(service, tried, now());
        if (!upstream || now() >= deadline) {
            break;
        }
        const auto send_at =
            reserve_request(fleet_.pool, upstream->id, deadline, now());
        if (!send_at) {
            break;
        }
        co_await wait_until(*send_at);
        if (exchange.is_caller_disconnected()) {
            ++counters_.callers_gone;
            co_return;
        }
        // It may have left while the request waited.
        if (!fleet_.pool.is_available(upstream->id)) {
            continue;
        }
        tried.insert(upstream->id);
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - now());
        const platform::forwarding_metadata marks{.upstream = upstream->id,
                                                  .time_left = left,
                                                  .last_event = last_event};
        http_request request =
            platform::forward_request(exchange.request(), marks);
        call_options options{.use = connection_use::fresh};
        log_.write(log_event::stream_sent,
                   "request=" + call.id.text() + " route=" + route.name +
                       " upstream=" + upstream->id.text() +
                       " software=" + upstream->software.text() +
                       " resumes=" + call.resumes.text() + " after_event=" +
                       std::to_string(
                           last_event.value_or(call.last_event.value_or(0))) +
                       " begun=" + (has_begun ? "1" : "0"));
        auto opened =
            co_await stream_client_.open(upstream->address, std::move(request),
                                         deadline, std::move(options));
        if (!opened) {
            guard.on_failed(*upstream, opened.reason().code);
            const bool may_have_begun =
                classify(opened.reason().code) != result_class::not_run;
            may_have_run = may_have_run || may_have_begun;
            attempt += may_have_begun ? 1 : 0;
            continue;
        }
        http_stream& stream = **opened;
        const auto metadata =
            platform::decode_answer_metadata(stream.headers());
        record_request_limit(fleet_, upstream->id, metadata, log_);
        if (metadata.is_not_run) {
            continue;
        }
        may_have_run = true;
        ++attempt;
        if (!has_begun && !co_await exchange.begin_stream(
                              stream.status(), platform::forward_answer_headers(
                                                   stream.headers()))) {
            co_return;
        }
        has_begun = true;
        std::string buffer;
        while (true) {
            auto part = co_await (stream.read_some(deadline) ||
                                  exchange.wait_for_disconnect());
            if (part.index() == 1) {
                ++counters_.callers_gone;
                co_return;
            }
            auto& bytes = std::get<0>(part);
            if (!bytes) {
                guard.on_failed(*upstream, bytes.reason().code);
                break;
            }
            if (bytes->empty()) {
                if (!buffer.empty()) {
                    break;
                }
                ++counters_.answered;
                guard.on_answered();
                log_.write(log_event::stream_ended,
                           "request=" + call.id.text() + " outcome=complete" +
                               " last_event=" +
                               std::to_string(last_event.value_or(0)));
                co_await exchange.end_stream();
                co_return;
            }
            // Forwards complete events only, so that a resumed stream continues
            // seamlessly.
            buffer += *bytes;
            const std::size_t end = buffer.rfind(event_separator);
            if (end == std::string::npos) {
                if (buffer.size() > max_event_bytes) {
                    break;
                }
                continue;
            }
            const std::string complete_events =
                buffer.substr(0, end + event_separator.size());
            buffer.erase(0, complete_events.size());
            const std::size_t last_begin = complete_events.rfind(
                event_separator,
                complete_events.size() - event_separator.size() - 1);
            const auto event = platform::decode_item_event(
                std::string_view(complete_events)
                    .substr(last_begin == std::string::npos
                                ? 0
                                : last_begin + event_separator.size()));
            last_event = event.number ? event.number : last_event;
            if (!co_await exchange.write_chunk(complete_events)) {
                co_return;
            }
        }
        log_.write(log_event::request_resumed,
                   "request=" + call.id.text() + " route=" + route.name +
                       " upstream=" + upstream->id.text() +
                       " last_event=" + std::to_string(last_event.value_or(0)));
    }
    if (has_begun) {
        // The missing last chunk tells the caller that the stream was cut off.
        log_.write(log_event::stream_ended,
                   "request=" + call.id.text() + " outcome=cut last_event=" +
                       std::to_string(last_event.value_or(0)));
        ++counters_.unknown;
        co_return;
    }
    if (!may_have_run && guard.is_blocked()) {
        co_await refuse_suspect(exchange, call.id.text());
        co_return;
    }
    if (!may_have_run) {
        co_await refuse(exchange, call.id.text(), status_unavailable,
                        "no upstream took the stream");
        co_return;
    }
    ++counters_.unknown;
    http_response response = platform::make_local_response(
        status_bad_gateway, "the upstream may have run the request");
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void>
front_service::accept_job(http_exchange& exchange, const route_rule& route,
                          const platform::caller_call& call) {
    const steady_time begin = now();
    const job_id id(call.id.text());
    if (id.is_empty()) {
        co_await refuse(exchange, "", status_bad_request, "no request id");
        co_return;
    }
    const auto job =
        platform::decode_submission(id, call.host, exchange.request().body);
    if (!job) {
        co_await refuse(exchange, id.text(), status_bad_request,
                        job.reason().detail);
        co_return;
    }
    job_record record{.id = id,
                      .route = route.name,
                      .host = call.host,
                      .service = route.services.empty()
                                     ? service_name()
                                     : route.services.front().service,
                      .total = static_cast<std::uint32_t>(job->items.size()),
                      .accepted_at = wall_milliseconds()};
    const auto time_limit =
        std::min(call.max_wait.value_or(max_accept_time), max_accept_time);
    const accept_end end = co_await jobs_.accept(
        record, exchange.request().body, begin + time_limit - answer_margin);
    const std::string detail =
        "job=" + id.text() + " route=" + route.name +
        " items=" + std::to_string(job->items.size()) + " milliseconds=" +
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(now() - begin)
                .count());
    if (end == accept_end::accepted) {
        ++counters_.jobs_accepted;
        log_.write(log_event::job_accepted, detail);
        notify_job_listener(id);
        http_response response{.status = status_accepted};
        co_await exchange.respond(std::move(response));
        co_return;
    }
    ++counters_.jobs_refused;
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

asio::awaitable<void> front_service::handle_job_call(http_exchange& exchange,
                                                     platform::job_call call) {
    http_response response = co_await std::visit(
        [this](auto& one) { return answer_job_call(std::move(one)); }, call);
    if (response.status != status_ok) {
        log_.write(log_event::request_refused,
                   "target=" + exchange.request().target +
                       " status=" + std::to_string(response.status));
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<http_response>
front_service::answer_job_call(platform::read_results_call call) {
    const auto page = co_await jobs_.read_results(
        job_id(call.job), call.first, std::min(call.wait, max_read_wait));
    if (!page) {
        co_return answer_failure(page.reason());
    }
    co_return make_json(platform::encode_result_page(
        page->total, page->next_position, page->rows));
}

asio::awaitable<http_response>
front_service::answer_job_call(platform::read_item_call call) {
    auto body = co_await jobs_.read_item(job_id(call.job), item_id(call.item));
    if (!body) {
        co_return answer_failure(body.reason());
    }
    co_return make_bytes(std::move(*body));
}

asio::awaitable<http_response>
front_service::answer_job_call(platform::end_job_call call) {
    const job_id job(call.job);
    const auto ended = co_await jobs_.end(job);
    if (!ended) {
        // The store did not answer, so the end may still take effect.
        co_return ended.reason().code == result_code::store_unanswered
            ? platform::make_local_response(status_gateway_timeout,
                                            "the end may take effect")
            : answer_failure(ended.reason());
    }
    log_.write(log_event::job_ended, "job=" + job.text());
    notify_job_listener(job);
    co_return make_json("{}");
}

} // namespace savorydock
