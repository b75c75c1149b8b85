#include "drivers/batch/item_runner.hpp"

#include "core/utf8.hpp"
#include "drivers/front/attempt_log.hpp"
#include "drivers/front/leaving_notice.hpp"
#include "drivers/front/request_limit.hpp"
#include "drivers/http/event_splitter.hpp"
#include "platform/batch_codec.hpp"
#include "platform/request_codec.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// Timeout of the first event; covers the wait for a slot and a load of
/// weights.
constexpr std::chrono::milliseconds first_event_timeout{3'000};
/// Timeout between events: a load of weights plus a margin.
constexpr std::chrono::milliseconds event_timeout{2'200};
/// Deadline of a scoring call, unless its route has a shorter timeout.
constexpr std::chrono::milliseconds scoring_deadline{4'000};
constexpr std::chrono::milliseconds scoring_retry_delay{200};

constexpr unsigned status_ok = 200;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_unprocessable = 422;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_server_error = 500;

/// Parses a stream and appends its complete events to the record of a run.
class text_builder {
public:
    text_builder(run_record& record, weight_version version,
                 const run_task& task, std::size_t max_text_bytes)
        : record_(record)
        , version_(version)
        , min_version_(task.min_version)
        , is_single_version_(task.is_single_version)
        , max_events_(task.max_events)
        , max_text_bytes_(max_text_bytes) {}

    /// Parses received bytes. Returns how the run must end, or nothing if it
    /// continues.
    [[nodiscard]] std::optional<run_end> feed(std::string_view bytes) {
        splitter_.feed(bytes);
        while (const auto event = splitter_.next()) {
            const auto verdict =
                append_event(platform::decode_item_event(*event));
            if (verdict) {
                return verdict;
            }
        }
        if (splitter_.is_event_too_long()) {
            return run_end::interrupted;
        }
        return std::nullopt;
    }

    /// Whether all bytes so far belong to complete events.
    [[nodiscard]] bool is_at_boundary() const {
        return splitter_.is_at_boundary();
    }

private:
    [[nodiscard]] std::optional<run_end>
    append_event(platform::item_event event) {
        version_ = event.version.value_or(version_);
        if (!event.number) {
            return std::nullopt;
        }
        item_progress& progress = record_.progress;
        // Event streams are UTF-8. Other bytes can't be listed as a result.
        if (*event.number != progress.events + 1 || !is_utf8(event.data)) {
            return run_end::interrupted;
        }
        const bool is_too_long =
            (max_events_ > 0 && *event.number > max_events_) ||
            progress.text.size() + event.data.size() >= max_text_bytes_;
        if (is_too_long) {
            return run_end::oversized;
        }
        if (version_ < min_version_) {
            return run_end::wrong_version;
        }
        if (progress.versions.empty() || progress.versions.back() != version_) {
            if (is_single_version_ && !progress.versions.empty()) {
                // The item must have a single version, and this event's version
                // differs from that of the text so far.
                return run_end::wrong_version;
            }
            progress.versions.push_back(version_);
        }
        progress.text += progress.events == 0 ? "" : "\n";
        progress.text += event.data;
        progress.events = *event.number;
        return std::nullopt;
    }

    run_record& record_;
    weight_version version_;
    weight_version min_version_;
    bool is_single_version_;
    std::uint64_t max_events_;
    std::size_t max_text_bytes_;
    event_splitter splitter_;
};

run_end end_for_status(unsigned status, bool is_not_run) {
    if (status == status_misdirected ||
        (is_not_run && status == status_too_many_requests)) {
        return run_end::unavailable;
    }
    if (is_not_run) {
        return run_end::not_run;
    }
    if (status == status_unprocessable) {
        return run_end::invalid_item;
    }
    return status == status_server_error ? run_end::failed
                                         : run_end::interrupted;
}

/// Whether the current route, null if there is none, leads to all services of
/// the route that was used.
bool leads_to_services_of(const route_rule& used, const route_rule* current) {
    return current != nullptr &&
           std::all_of(used.services.begin(), used.services.end(),
                       [current](const service_share& one) {
                           return std::any_of(
                               current->services.begin(),
                               current->services.end(),
                               [&one](const service_share& other) {
                                   return other.service == one.service;
                               });
                       });
}

} // namespace

item_runner::item_runner(http_client& client, plain_caller& scorers,
                         fleet_state& fleet, logger& log,
                         std::size_t max_text_bytes)
    : client_(client)
    , scorers_(scorers)
    , fleet_(fleet)
    , log_(log)
    , max_text_bytes_(max_text_bytes) {}

asio::awaitable<run_end> item_runner::run(std::shared_ptr<const run_task> task,
                                          std::shared_ptr<run_record> record,
                                          run_check is_wanted) {
    // Planners of the previous build pass on credentials in items' headers.
    platform::forwarding_metadata marks{
        .upstream = task->upstream,
        .organisation = task->organisation,
        .strips_credentials =
            !task->organisation.is_empty() ||
            (fleet_.routes && fleet_.routes->keys().has_organisations())};
    if (record->progress.events > 0) {
        marks.last_event = record->progress.events;
    }
    const auto address = parse_endpoint(task->address);
    if (!address) {
        co_return run_end::interrupted;
    }
    http_headers headers;
    for (const run_header& header : task->headers) {
        headers.push_back({header.name, header.value});
    }
    const auto now = [] { return std::chrono::steady_clock::now(); };
    http_request request = platform::make_item_request(
        task->id, task->host, task->path, headers, task->body, marks);
    const steady_time open_deadline = now() + first_event_timeout;
    const auto is_leaving = [this, &task] {
        return fleet_.pool.is_leaving(task->upstream);
    };
    if (is_leaving()) {
        on_leaving_(*task);
        co_return run_end::unavailable;
    }
    attempt_log attempt(fleet_, log_, "run", task->id, task->upstream);
    call_options options{
        .may_write = [&] { return !is_leaving() && is_wanted(); },
        .is_own_answer =
            [&](const http_headers& received) {
                return platform::may_answer(
                    task->id, platform::decode_answer_metadata(received));
            },
        .trace = attempt.trace()};
    auto opened = co_await client_.open(*address, std::move(request),
                                        open_deadline, std::move(options));
    if (!opened) {
        attempt.on_failed(opened.reason());
        co_return is_wanted() ? run_end::interrupted : run_end::stopped;
    }
    attempt.on_answered();
    http_stream& stream = **opened;
    const auto answer = platform::decode_answer_metadata(stream.headers());
    record_request_limit(fleet_, task->upstream, answer, log_);
    if (record_leaving(fleet_, task->upstream, *address, answer, client_,
                       log_)) {
        on_leaving_(*task);
    }
    if (answer.request_limit || !answer.is_not_run) {
        on_limit_(*task, answer.request_limit);
    }
    if (stream.status() != status_ok) {
        const run_end end = end_for_status(stream.status(), answer.is_not_run);
        if (end == run_end::not_run && is_leaving()) {
            co_return run_end::unavailable;
        }
        co_return end;
    }
    if (answer.version < task->min_version) {
        co_return run_end::wrong_version;
    }
    text_builder builder(*record, answer.version, *task, max_text_bytes_);
    // Only complete events extend the deadline: a stalled engine may still send
    // comments or parts of an event.
    steady_time next_event_by = now() + first_event_timeout;
    while (true) {
        const std::uint64_t events = record->progress.events;
        const auto bytes = co_await stream.read_some(next_event_by);
        if (!bytes) {
            attempt.on_failed(bytes.reason());
            co_return run_end::interrupted;
        }
        if (bytes->empty()) {
            break;
        }
        if (const auto verdict = builder.feed(*bytes)) {
            if (*verdict == run_end::interrupted) {
                attempt.on_failed({result_code::failed_by_upstream,
                                   "an event is out of order, too long or not "
                                   "UTF-8"});
            }
            co_return *verdict;
        }
        if (record->progress.events > events) {
            next_event_by = now() + event_timeout;
        }
    }
    co_return builder.is_at_boundary() ? run_end::complete
                                       : run_end::interrupted;
}

run_record run_record::resumed_after(item_progress text) {
    run_record record{.progress = std::move(text)};
    record.reported_events = record.progress.events;
    record.reported_bytes = record.progress.text.size();
    record.reported_versions = record.progress.versions.size();
    return record;
}

run_delta run_record::take_delta(run_ticket ticket) {
    run_delta delta{.ticket = ticket,
                    .base_events = reported_events,
                    .events = progress.events};
    if (progress.events > reported_events) {
        // Skips the line feed between the last reported event and the next one.
        const std::size_t begin = reported_events == 0 ? 0 : reported_bytes + 1;
        delta.text = progress.text.substr(begin);
        delta.versions.assign(
            progress.versions.begin() +
                static_cast<std::ptrdiff_t>(reported_versions),
            progress.versions.end());
    }
    reported_events = progress.events;
    reported_bytes = progress.text.size();
    reported_versions = progress.versions.size();
    return delta;
}

asio::awaitable<std::optional<std::string>>
item_runner::score(std::shared_ptr<const run_task> task, run_check is_wanted) {
    std::uint32_t failures = 0;
    while (is_wanted()) {
        // Keeps the routes alive: a new configuration may replace them during
        // the call.
        const auto routes = fleet_.routes;
        const route_rule* const route =
            routes ? routes->find(task->host, task->path) : nullptr;
        if (route != nullptr) {
            const auto time = std::min<std::chrono::milliseconds>(
                route->timeout, scoring_deadline);
            const scoring_call scoring{.id = task->id,
                                       .host = task->host,
                                       .path = task->path,
                                       .body = task->body};
            const http_request request =
                platform::make_scoring_request(scoring);
            plain_call_request call{
                .route = *route,
                .request = request,
                .id = scoring.id,
                .deadline = std::chrono::steady_clock::now() + time,
                .is_urgent = true,
                .max_limit_wait = std::chrono::milliseconds(0),
                .is_wanted = [&] {
                    return is_wanted() &&
                           leads_to_services_of(
                               *route,
                               fleet_.routes->find(task->host, task->path));
                }};
            auto result = co_await scorers_.call(std::move(call));
            if (result.answer && result.answer->status / 100 == 2) {
                auto answer =
                    platform::decode_answer_metadata(result.answer->headers);
                if (is_utf8(answer.stamp)) {
                    co_return std::move(answer.stamp);
                }
                // A damaged signature; the result couldn't be read with it.
                log_.write(log_event::attempt_failed,
                           "use=scoring id=" + task->id +
                               " reason=\"the signature isn't UTF-8\"");
            }
            failures += result.failures;
            const std::uint32_t allowed =
                std::max<std::uint32_t>(1, route->max_attempts);
            if (failures >= allowed) {
                log_.write(log_event::item_given_up,
                           "job=" + task->job.text() + " scoring=" + task->id +
                               " reason=\"the scorer failed\" failures=" +
                               std::to_string(failures));
                co_return std::nullopt;
            }
        }
        asio::steady_timer timer(co_await asio::this_coro::executor);
        timer.expires_after(scoring_retry_delay);
        const auto [error] =
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (error) {
            co_return std::nullopt;
        }
    }
    co_return std::nullopt;
}

} // namespace savorydock
