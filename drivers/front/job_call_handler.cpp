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

} // namespace

job_call_handler::job_call_handler(job_store& jobs, const exit_admission& exit,
                                   end_listener on_ended, logger& log)
    : jobs_(jobs)
    , exit_(exit)
    , on_ended_(std::move(on_ended))
    , log_(log) {}

asio::awaitable<void> job_call_handler::handle(http_exchange& exchange,
                                               platform::job_call call) {
    http_response response = co_await std::visit(
        [this](auto& one) { return answer(std::move(one)); }, call);
    if (response.status != status_ok) {
        log_.write(log_event::request_refused,
                   "target=" + exchange.request().target +
                       " status=" + std::to_string(response.status));
    }
    co_await exchange.respond(std::move(response));
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
