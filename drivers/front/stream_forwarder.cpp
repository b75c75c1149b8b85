#include "drivers/front/stream_forwarder.hpp"

#include "drivers/front/attempt_log.hpp"
#include "drivers/front/leaving_notice.hpp"
#include "drivers/front/open_request.hpp"
#include "drivers/front/request_limit.hpp"
#include "drivers/http/event_splitter.hpp"
#include "platform/batch_codec.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <set>

namespace savorydock {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr unsigned status_misdirected = 421;
constexpr unsigned status_server_error = 500;
/// Largest answer of an upstream without a stream that is passed on.
constexpr std::size_t max_failure_bytes = 1U << 20U;

/// How long a caller is assumed to continue a stream if it states no deadline.
constexpr std::chrono::milliseconds default_stream_wait{30'000};
/// Streams of callers who wait longer are recorded always: the default origin
/// of their route may be replaced while they live.
constexpr std::chrono::milliseconds max_unrecorded_wait{30'000};
/// Time that the store gets to take the record of a stream.
constexpr std::chrono::milliseconds max_record_time{1'500};
/// The same for streams of an origin that is the route's default as far as the
/// instance knows. They begin also without a record.
constexpr std::chrono::milliseconds max_default_record_time{250};
/// Crashed upstreams of a version that is being replaced may come back.
constexpr std::chrono::milliseconds origin_retry_after{1'000};

steady_time now() {
    return std::chrono::steady_clock::now();
}

bool is_success(unsigned status) {
    return status / 100 == 2;
}

/// Whether the answer is the upstream's own stream and no other content.
bool is_stream(const http_stream& answer,
               const platform::upstream_answer_metadata& metadata) {
    return is_success(answer.status()) && !metadata.stamp.empty() &&
           find_header(answer.headers(), "Content-Encoding").empty();
}

/// Whether the stream may be sent to an upstream. One that may have begun in
/// time is continued.
bool may_run(const stream_request& request, bool may_have_begun) {
    return may_have_begun || !request.is_allowed || request.is_allowed();
}

} // namespace

struct stream_forwarder::progress {
    stream_result result;
    service_name service;
    /// Set once an event may have reached the caller, in this attempt or an
    /// earlier one: only upstreams of this software may continue the stream.
    std::optional<software_version> software;
    std::set<upstream_id> tried;
    std::uint32_t attempts = 0;
    bool has_begun = false;
    bool may_have_run = false;
    /// The start of the run was reported, or is that of an earlier attempt of
    /// the caller.
    bool is_start_reported = false;
};

stream_forwarder::stream_forwarder(fleet_state& fleet, http_client& client,
                                   stream_ledger& ledger, random_source& random,
                                   logger& log)
    : fleet_(fleet)
    , client_(client)
    , ledger_(ledger)
    , random_(random)
    , log_(log) {}

asio::awaitable<stream_result>
stream_forwarder::forward(stream_request request) {
    progress state;
    state.result.last_event = request.call.last_event.value_or(0);
    state.result.reason = "no upstream took the stream";
    if (!exit_.may_send({.kind = request_kind::stream,
                         .deadline = request.deadline,
                         .usual_time = request.route.target_latency},
                        now())) {
        state.result.reason = "the instance exits before the stream would end";
        request.exchange.close_after_answer();
        co_return std::move(state.result);
    }
    const bool is_taken_up = state.result.last_event > 0;
    if (request.call.has_invalid_last_event ||
        (is_taken_up && !request.route.is_resumable)) {
        state.result.reason = "the stream can't be continued from that event";
        state.result.is_invalid = true;
        co_return std::move(state.result);
    }
    state.is_start_reported = is_taken_up || request.organisation.is_empty();
    if (!is_taken_up) {
        state.service = pick_service(request.route, random_);
    } else if (!co_await find_origin(request, state)) {
        co_return std::move(state.result);
    }
    const open_request counted(fleet_, state.service);
    const std::uint32_t max_attempts =
        request.route.is_resumable
            ? std::max<std::uint32_t>(1, request.route.max_attempts)
            : 1;
    while (state.attempts < max_attempts && !request.guard.is_blocked()) {
        const auto upstream = choose_upstream(request, state);
        if (!upstream || now() >= request.deadline) {
            break;
        }
        const auto send_at =
            reserve_request(fleet_.pool, upstream->id, request.deadline, now());
        if (!send_at) {
            state.result.reason =
                "the request limits of the upstreams are used up";
            break;
        }
        co_await wait_until(*send_at);
        if (request.exchange.is_caller_disconnected()) {
            state.result.end = stream_end::caller_gone;
            co_return std::move(state.result);
        }
        // It may have left while the request waited.
        if (!fleet_.pool.is_available(upstream->id)) {
            continue;
        }
        if (!may_run(request, state.may_have_run)) {
            state.result.reason = "the key can't be confirmed now";
            break;
        }
        state.tried.insert(upstream->id);
        if (co_await try_upstream(request, *upstream, state) ==
            attempt_end::finished) {
            co_return std::move(state.result);
        }
    }
    if (state.has_begun) {
        state.result.end = stream_end::cut;
    } else if (state.result.answer) {
        state.result.end = stream_end::failed;
    } else if (state.may_have_run) {
        state.result.end = stream_end::unknown;
    }
    co_return std::move(state.result);
}

asio::awaitable<bool>
stream_forwarder::find_origin(const stream_request& request, progress& state) {
    const platform::caller_call& call = request.call;
    stream_result& result = state.result;
    result.retry_after = origin_retry_after;
    if (call.resumes.is_empty()) {
        result.reason = "the stream's first attempt isn't named";
        co_return false;
    }
    auto found = co_await (ledger_.find(call.resumes, request.route.name) ||
                           request.exchange.wait_for_disconnect());
    if (found.index() == 1) {
        result.end = stream_end::caller_gone;
        co_return false;
    }
    auto& origin = std::get<0>(found);
    if (!origin) {
        result.reason = "the stream's origin can't be read now";
        result.retry_after.reset();
        co_return false;
    }
    const auto& services = request.route.services;
    if (!*origin || std::none_of(services.begin(), services.end(),
                                 [&](const service_share& share) {
                                     return share.service ==
                                            (*origin)->origin.service;
                                 })) {
        result.reason = "the stream's origin isn't known";
        co_return false;
    }
    // Other instances may know that the default origin was replaced, or that
    // its upstreams have left, and begin streams of another one without a
    // record.
    if (!(*origin)->is_recorded && !fleet_.find_view_age().is_current) {
        result.reason = "the default origin of the route may be out of date";
        result.retry_after.reset();
        co_return false;
    }
    state.service = (*origin)->origin.service;
    state.software = (*origin)->origin.software;
    if (!fleet_.pool.choose(state.service, {}, now(), &*state.software)) {
        result.reason = "no upstream has the software version " +
                        state.software->text() + " that began the stream";
        co_return false;
    }
    result.retry_after.reset();
    co_return true;
}

std::optional<upstream_entry>
stream_forwarder::choose_upstream(const stream_request& request,
                                  progress& state) const {
    if (state.software) {
        return fleet_.pool.choose(state.service, state.tried, now(),
                                  &*state.software);
    }
    auto upstream = fleet_.pool.choose(state.service, state.tried, now());
    if (!upstream || ledger_.is_store_reachable() ||
        !needs_record(request, {.service = upstream->service,
                                .software = upstream->software})) {
        return upstream;
    }
    const stream_origin* const usual = ledger_.default_of(request.route.name);
    if (usual != nullptr && usual->service == state.service) {
        if (auto known = fleet_.pool.choose(state.service, state.tried, now(),
                                            &usual->software)) {
            return known;
        }
    }
    return upstream;
}

bool stream_forwarder::needs_record(const stream_request& request,
                                    const stream_origin& origin) const {
    if (!request.route.is_resumable || request.call.id.is_empty()) {
        return false;
    }
    // Other instances may know that the default was replaced. Without the store
    // no record can be written.
    const bool may_be_replaced =
        ledger_.is_store_reachable() && !fleet_.find_view_age().is_current;
    const stream_origin* const usual = ledger_.default_of(request.route.name);
    return usual == nullptr || *usual != origin || may_be_replaced ||
           request.call.max_wait.value_or(default_stream_wait) >
               max_unrecorded_wait;
}

asio::awaitable<stream_forwarder::attempt_end>
stream_forwarder::try_upstream(const stream_request& request,
                               const upstream_entry& upstream,
                               progress& state) {
    const platform::caller_call& call = request.call;
    platform::forwarding_metadata marks{
        .upstream = upstream.id,
        .time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
            request.deadline - now()),
        .organisation = request.organisation,
        .strips_credentials = request.strips_credentials};
    if (state.has_begun) {
        marks.last_event = state.result.last_event;
    }
    http_request forwarded =
        platform::forward_request(request.exchange.request(), marks);
    attempt_log attempt(fleet_, log_, "stream", call.id.text(), upstream.id);
    call_options options{.use = connection_use::fresh,
                         .body = request.exchange.request().body,
                         .may_write =
                             [this, &request, &upstream, &state] {
                                 return fleet_.pool.is_available(upstream.id) &&
                                        may_run(request, state.may_have_run);
                             },
                         .is_own_answer =
                             [&call](const http_headers& headers) {
                                 return platform::may_answer(
                                     call.id.text(),
                                     platform::decode_answer_metadata(headers));
                             },
                         .trace = attempt.trace()};
    log_.write(log_event::stream_sent,
               "request=" + call.id.text() + " route=" + request.route.name +
                   " upstream=" + upstream.id.text() +
                   " software=" + upstream.software.text() +
                   " resumes=" + call.resumes.text() +
                   " after_event=" + std::to_string(state.result.last_event) +
                   " begun=" + (state.has_begun ? "1" : "0"));
    auto answered =
        co_await (client_.open(upstream.address, std::move(forwarded),
                               request.deadline, std::move(options)) ||
                  request.exchange.wait_for_disconnect());
    if (answered.index() == 1) {
        state.result.end = stream_end::caller_gone;
        co_return attempt_end::finished;
    }
    auto& opened = std::get<0>(answered);
    if (!opened) {
        attempt.on_failed(opened.reason());
        request.guard.on_failed(upstream, opened.reason().code);
        const bool may_have_begun =
            classify(opened.reason().code) != result_class::not_run;
        state.may_have_run = state.may_have_run || may_have_begun;
        state.attempts += may_have_begun ? 1 : 0;
        co_return attempt_end::unfinished;
    }
    attempt.on_answered();
    http_stream& stream = **opened;
    const auto metadata = platform::decode_answer_metadata(stream.headers());
    record_request_limit(fleet_, upstream.id, metadata, log_);
    record_leaving(fleet_, upstream.id, upstream.address, metadata, client_,
                   log_);
    if (metadata.is_not_run || stream.status() == status_misdirected) {
        co_return attempt_end::unfinished;
    }
    state.may_have_run = true;
    ++state.attempts;
    if (!is_stream(stream, metadata)) {
        co_return co_await read_failure(request, stream, state);
    }
    if (!state.has_begun &&
        co_await begin_stream(request, upstream, stream, state) ==
            attempt_end::finished) {
        co_return attempt_end::finished;
    }
    co_return co_await pass_on_events(request, upstream, stream, state);
}

asio::awaitable<stream_forwarder::attempt_end>
stream_forwarder::record_origin(const stream_request& request,
                                stream_origin origin, progress& state) {
    const request_id& id = request.call.id;
    const steady_time deadline =
        now() + request.call.max_wait.value_or(default_stream_wait);
    const stream_origin* const usual = ledger_.default_of(request.route.name);
    // Without a record the stream is taken for one of the default origin. If
    // that has no upstream left, it is refused and not continued elsewhere.
    const bool is_safe_without =
        usual != nullptr &&
        !fleet_.pool.has_software(usual->service, usual->software);
    if (!ledger_.is_store_reachable() && is_safe_without) {
        ledger_.record_later(id, std::move(origin), deadline);
        co_return attempt_end::unfinished;
    }
    const bool is_usual = usual != nullptr && *usual == origin &&
                          request.call.max_wait.value_or(default_stream_wait) <=
                              max_unrecorded_wait;
    const steady_time write_by =
        std::min(request.deadline, now() + (is_usual ? max_default_record_time
                                                     : max_record_time));
    auto recorded =
        co_await (ledger_.record(id, std::move(origin), write_by, deadline) ||
                  request.exchange.wait_for_disconnect());
    if (recorded.index() == 1) {
        state.result.end = stream_end::caller_gone;
        co_return attempt_end::finished;
    }
    if (!std::get<0>(recorded) && !is_usual) {
        // Another origin must not begin it: the write may still take effect.
        state.result.end = stream_end::unknown;
        state.result.reason = "the stream's origin was not stored";
        co_return attempt_end::finished;
    }
    co_return attempt_end::unfinished;
}

asio::awaitable<stream_forwarder::attempt_end>
stream_forwarder::begin_stream(const stream_request& request,
                               const upstream_entry& upstream,
                               http_stream& stream, progress& state) {
    stream_origin origin{.service = upstream.service,
                         .software = upstream.software};
    const bool is_new = !state.software;
    if (is_new && needs_record(request, origin) &&
        co_await record_origin(request, std::move(origin), state) ==
            attempt_end::finished) {
        co_return attempt_end::finished;
    }
    state.has_begun = true;
    state.software = upstream.software;
    http_headers headers = platform::forward_answer_headers(stream.headers());
    if (!co_await request.exchange.begin_stream(stream.status(),
                                                std::move(headers))) {
        state.result.end = stream_end::caller_gone;
        co_return attempt_end::finished;
    }
    co_return attempt_end::unfinished;
}

asio::awaitable<stream_forwarder::attempt_end>
stream_forwarder::read_failure(const stream_request& request,
                               http_stream& stream, progress& state) {
    // Nothing of it may get into a stream that has begun, and a success without
    // the upstream's signature isn't an answer.
    if (state.has_begun || is_success(stream.status())) {
        co_return attempt_end::unfinished;
    }
    http_response answer{
        .status = stream.status(),
        .headers = platform::forward_answer_headers(stream.headers())};
    while (true) {
        auto part = co_await (stream.read_some(request.deadline) ||
                              request.exchange.wait_for_disconnect());
        if (part.index() == 1) {
            state.result.end = stream_end::caller_gone;
            co_return attempt_end::finished;
        }
        auto& bytes = std::get<0>(part);
        if (!bytes || answer.body.size() + bytes->size() > max_failure_bytes) {
            co_return attempt_end::unfinished;
        }
        if (bytes->empty()) {
            break;
        }
        answer.body += *bytes;
    }
    request.guard.on_answered();
    const bool is_final = answer.status < status_server_error;
    state.result.answer = std::move(answer);
    state.result.end = stream_end::failed;
    co_return is_final ? attempt_end::finished : attempt_end::unfinished;
}

asio::awaitable<stream_forwarder::attempt_end>
stream_forwarder::pass_on_events(const stream_request& request,
                                 const upstream_entry& upstream,
                                 http_stream& stream, progress& state) {
    stream_result& result = state.result;
    event_splitter splitter;
    while (true) {
        auto part = co_await (stream.read_some(request.deadline) ||
                              request.exchange.wait_for_disconnect());
        if (part.index() == 1) {
            result.end = stream_end::caller_gone;
            co_return attempt_end::finished;
        }
        auto& bytes = std::get<0>(part);
        if (!bytes) {
            request.guard.on_failed(upstream, bytes.reason().code);
            result.reason = bytes.reason().detail;
            break;
        }
        if (bytes->empty()) {
            if (!splitter.is_at_boundary()) {
                result.reason = "the stream ended within an event";
                break;
            }
            request.guard.on_answered();
            result.end = co_await request.exchange.end_stream()
                             ? stream_end::complete
                             : stream_end::caller_gone;
            co_return attempt_end::finished;
        }
        splitter.feed(*bytes);
        std::string complete_events;
        bool is_in_order = true;
        while (const auto event = splitter.next()) {
            const auto number = platform::decode_item_event(*event).number;
            is_in_order = !number || !request.route.is_resumable ||
                          *number == result.last_event + 1;
            if (!is_in_order) {
                break;
            }
            result.last_event = number.value_or(result.last_event);
            complete_events += *event;
        }
        if (!state.is_start_reported && !complete_events.empty()) {
            state.is_start_reported = true;
            fleet_.on_run_began(request.organisation, now());
        }
        if (!co_await request.exchange.write_chunk(
                std::move(complete_events))) {
            result.end = stream_end::caller_gone;
            co_return attempt_end::finished;
        }
        if (!is_in_order || splitter.is_event_too_long()) {
            result.reason = is_in_order ? "an event is too long"
                                        : "an event is missing or repeated";
            break;
        }
    }
    log_.write(log_event::request_resumed,
               "request=" + request.call.id.text() + " route=" +
                   request.route.name + " upstream=" + upstream.id.text() +
                   " software=" + upstream.software.text() +
                   " last_event=" + std::to_string(result.last_event) +
                   " reason=\"" + result.reason + '"');
    co_return attempt_end::unfinished;
}

} // namespace savorydock
