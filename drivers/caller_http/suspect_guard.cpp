#include "drivers/caller_http/suspect_guard.hpp"

#include "drivers/caf_runtime/pending_answer.hpp"
#include "servers/configuration/rendezvous.hpp"

#include <boost/asio/steady_timer.hpp>

#include <sstream>

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds permit_retry{100};
/// Number of lost upstreams after which the request is blocked; the same as in
/// `crash_suspicion`.
constexpr std::uint32_t losses_to_block = 2;

failure blocked_reason(const std::string& fingerprint) {
    return {result_code::not_run_suspect_request,
            "upstreams were lost while it ran; fingerprint " + fingerprint};
}

/// Whether the connection was lost after bytes were sent. A timeout does not
/// count, as it is not a sign of a crash.
bool is_loss(result_code code) {
    return code == result_code::unknown_upstream_lost ||
           code == result_code::failed_truncated;
}

} // namespace

suspect_guard::suspect_guard(traffic_services& services,
                             const caller_request& request,
                             std::string_view content, std::size_t worker)
    : services_(services)
    , request_(request)
    , worker_(worker) {
    std::ostringstream text;
    text << std::hex
         << stable_hash(request.service->document->service.text(), content);
    fingerprint_ = text.str();
}

suspect_guard::~suspect_guard() {
    if (!entered_.is_empty()) {
        leave(result_code::cancelled_by_caller);
    }
}

bool suspect_guard::is_request_blocked() const {
    const auto view = services_.delivery.suspects();
    const auto found = view->find(fingerprint_);
    return losses_ >= losses_to_block ||
           (found != view->end() && found->second.is_blocked);
}

bool suspect_guard::is_suspect() const {
    return losses_ > 0 || services_.delivery.suspects()->contains(fingerprint_);
}

std::vector<upstream_id> suspect_guard::excluded() const {
    const auto view = services_.delivery.suspects();
    const auto found = view->find(fingerprint_);
    return found == view->end() ? std::vector<upstream_id>()
                                : found->second.excluded;
}

asio::awaitable<bool> suspect_guard::request_permit(upstream_id upstream) {
    using permit = std::pair<bool, std::string>;
    const auto pending = std::make_shared<pending_answer<permit>>(
        services_.contexts.at(worker_).get().get_executor());
    const auto now = std::chrono::steady_clock::now();
    services_.delivery.submit(permit_query{
        .service = request_.service->document->service,
        .fingerprint = fingerprint_,
        .upstream = std::move(upstream),
        .duration = std::chrono::duration_cast<std::chrono::milliseconds>(
            request_.deadline - now),
        .done = [answer = pending->handler()](bool is_granted,
                                              const std::string& name) {
            answer({is_granted, name});
        }});
    auto answer = co_await pending->wait(request_.deadline);
    if (!answer || !answer->first) {
        co_return false;
    }
    permit_ = answer->second;
    co_return true;
}

asio::awaitable<outcome<done>> suspect_guard::enter(upstream_id upstream) {
    while (is_suspect()) {
        if (is_request_blocked()) {
            co_return blocked_reason(fingerprint_);
        }
        if (co_await request_permit(upstream)) {
            break;
        }
        const auto now = std::chrono::steady_clock::now();
        if (now + permit_retry >= request_.deadline) {
            co_return blocked_reason(fingerprint_);
        }
        asio::steady_timer pause(services_.contexts.at(worker_).get(),
                                 permit_retry);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    entered_ = std::move(upstream);
    co_return done{};
}

void suspect_guard::leave(result_code code) {
    const service_name& service = request_.service->document->service;
    if (is_loss(code)) {
        ++losses_;
        services_.delivery.submit(
            std::vector<lost_run>{{.service = service,
                                   .upstream = entered_,
                                   .fingerprint = fingerprint_,
                                   .is_sole_suspect = !permit_.empty()}});
    } else if (code == result_code::ok && is_suspect()) {
        services_.delivery.submit(
            suspect_clearing{.fingerprint = fingerprint_});
    }
    if (!permit_.empty()) {
        services_.delivery.submit(
            permit_return{.service = service, .permit = permit_});
        permit_.clear();
    }
    entered_ = upstream_id();
}

} // namespace savorydock
