#include "drivers/front/crash_guard.hpp"

#include "servers/delivery/request_fingerprint.hpp"

#include <chrono>
#include <utility>

namespace savorydock {

namespace {

/// Whether the connection was lost after bytes were sent. A timeout is not a
/// sign of a crash.
bool is_loss(result_code code) {
    return code == result_code::unknown_upstream_lost ||
           code == result_code::failed_truncated;
}

} // namespace

crash_guard::crash_guard(suspect_list& suspects, const http_request& request,
                         std::string id, logger& log)
    : suspects_(suspects)
    , request_(request)
    , id_(std::move(id))
    , log_(log) {}

const std::string& crash_guard::fingerprint() {
    if (fingerprint_.empty()) {
        fingerprint_ = fingerprint_of(request_);
    }
    return fingerprint_;
}

bool crash_guard::is_blocked() {
    return !suspects_.is_empty() &&
           suspects_.is_blocked(fingerprint(),
                                std::chrono::steady_clock::now());
}

void crash_guard::on_answered() {
    if (suspects_.is_empty()) {
        return;
    }
    if (suspects_.on_run_finished(fingerprint(),
                                  std::chrono::steady_clock::now())) {
        log_.write(log_event::request_cleared,
                   "request=" + id_ + " fingerprint=" + fingerprint() +
                       " reason=\"an upstream has answered it\"");
    }
}

void crash_guard::on_failed(const upstream_entry& upstream, result_code code) {
    if (!is_loss(code)) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    suspects_.on_run_lost(fingerprint(), upstream, now);
    log_.write(
        log_event::request_suspected,
        "request=" + id_ + " fingerprint=" + fingerprint() + " service=" +
            upstream.service.text() + " upstream=" + upstream.id.text() +
            " started_at=" + std::to_string(upstream.started_at) + " marks=" +
            std::to_string(suspects_.marks_of(fingerprint())) + " blocked=" +
            (suspects_.is_blocked(fingerprint(), now) ? "1" : "0"));
}

} // namespace savorydock
