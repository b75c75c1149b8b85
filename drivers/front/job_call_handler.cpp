#include "drivers/front/job_call_handler.hpp"

#include "platform/batch_codec.hpp"

#include <algorithm>
#include <chrono>
#include <variant>

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

/// When a caller should retry after the state of a job could not be read: the
/// store usually recovers in well under a second.
constexpr std::chrono::milliseconds retry_after{250};
/// Maximum wait for results that a caller may request.
constexpr std::chrono::milliseconds max_read_wait{1'000};

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

bool is_batch(const route_rule& route) {
    return route.kind == request_kind::batch ||
           route.kind == request_kind::sample_batch;
}

bool has_public_batch_route(const route_table& routes) {
    const auto& rules = routes.configuration().routes;
    return std::any_of(rules.begin(), rules.end(), [](const route_rule& rule) {
        return rule.is_public && is_batch(rule);
    });
}

/// Whether jobs of the route need no key. `name` is the route's.
bool is_public_route(const route_table& routes, const std::string& name) {
    const auto& rules = routes.configuration().routes;
    return std::any_of(rules.begin(), rules.end(), [&](const route_rule& rule) {
        return rule.is_public && is_batch(rule) && rule.name == name;
    });
}

} // namespace

job_call_handler::job_call_handler(const fleet_state& fleet,
                                   caller_authenticator& authenticator,
                                   job_store& jobs, const exit_admission& exit,
                                   end_listener on_ended, logger& log)
    : fleet_(fleet)
    , authenticator_(authenticator)
    , jobs_(jobs)
    , exit_(exit)
    , on_ended_(std::move(on_ended))
    , log_(log) {}

asio::awaitable<void> job_call_handler::handle(http_exchange& exchange,
                                               platform::job_call call) {
    job_id job(std::visit([](const auto& one) { return one.job; }, call));
    auto refusal = co_await check_caller(exchange.request(), std::move(job));
    if (refusal) {
        http_response response = std::move(*refusal);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    http_response response = co_await std::visit(
        [this](auto& one) { return answer(std::move(one)); }, call);
    if (response.status != status_ok) {
        log_.write(log_event::request_refused,
                   "target=" + exchange.request().target +
                       " status=" + std::to_string(response.status));
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<std::optional<http_response>>
job_call_handler::check_caller(const http_request& request, job_id job) {
    // Keeps the routes alive: a new configuration may replace them during the
    // read of the record.
    const auto routes = fleet_.routes;
    if (!routes) {
        // The configuration may require keys.
        log_.write(log_event::request_refused,
                   "job=" + job.text() + " reason=\"no configuration yet\"");
        co_return platform::make_local_response(
            status_unavailable, "no configuration yet", retry_after);
    }
    if (!routes->keys().has_organisations()) {
        co_return std::nullopt;
    }
    const authenticated_caller caller =
        authenticator_.authenticate(request, *routes, false);
    const bool is_admitted = caller.identity.is_admitted();
    if (!is_admitted && !has_public_batch_route(*routes)) {
        co_return authenticator_.refuse(caller, job.text());
    }
    const auto record = co_await jobs_.find_record(job);
    if (!is_admitted) {
        if (record && record->organisation.is_empty() &&
            is_public_route(*routes, record->route)) {
            co_return std::nullopt;
        }
        co_return authenticator_.refuse(caller, job.text());
    }
    const bool is_foreign =
        record && !record->organisation.is_empty() &&
        record->organisation != caller.identity.organisation;
    if (!is_foreign && record) {
        co_return std::nullopt;
    }
    if (is_foreign) {
        authenticator_.on_foreign_job();
    }
    http_response response = answer_failure(
        is_foreign ? failure{result_code::not_found, "no such job"}
                   : record.reason());
    log_.write(log_event::request_refused,
               "job=" + job.text() +
                   organisation_field(caller.identity.organisation) +
                   " status=" + std::to_string(response.status) + " reason=" +
                   (is_foreign ? "foreign_job"
                               : "\"" + record.reason().detail + "\""));
    co_return response;
}

asio::awaitable<http_response>
job_call_handler::answer(platform::read_results_call call) {
    const steady_time begin = std::chrono::steady_clock::now();
    const steady_time end =
        exit_.answer_by(begin + std::min(call.wait, max_read_wait));
    const auto wait = std::max(
        std::chrono::duration_cast<std::chrono::milliseconds>(end - begin),
        std::chrono::milliseconds(0));
    const auto page =
        co_await jobs_.read_results(job_id(call.job), call.first, wait);
    if (!page) {
        co_return answer_failure(page.reason());
    }
    co_return make_json(platform::encode_result_page(
        page->total, page->next_position, page->rows));
}

asio::awaitable<http_response>
job_call_handler::answer(platform::read_item_call call) {
    auto body = co_await jobs_.read_item(job_id(call.job), item_id(call.item));
    if (!body) {
        co_return answer_failure(body.reason());
    }
    co_return make_bytes(std::move(*body));
}

asio::awaitable<http_response>
job_call_handler::answer(platform::end_job_call call) {
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
    on_ended_(job);
    co_return make_json("{}");
}

} // namespace savorydock
