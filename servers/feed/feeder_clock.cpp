#include "servers/feed/feeder_clock.hpp"

#include <algorithm>

namespace savorydock {

heartbeat_timing feeder_clock::on_heartbeat(const feed_heartbeat& heartbeat,
                                            std::chrono::milliseconds now) {
    constexpr std::chrono::milliseconds not_stated{0};
    if (heartbeat.sent_at == not_stated || heartbeat.term < term_) {
        return {};
    }
    if (heartbeat.term > term_) {
        term_ = heartbeat.term;
        clock_.reset();
        requested_at_.reset();
    }
    if (heartbeat.request_sent_at != not_stated) {
        clock_.on_answer(heartbeat.request_sent_at, heartbeat.sent_at);
    }
    heartbeat_timing timing;
    if (const auto sent_at = clock_.earliest_local(heartbeat.sent_at)) {
        timing.transit = std::max(now - *sent_at, not_stated);
        if (heartbeat.confirmed_age) {
            timing.confirmed_at = *sent_at - *heartbeat.confirmed_age;
        }
    }
    const bool is_loose =
        !timing.transit || *timing.transit > options_.max_usual_transit;
    timing.is_request_due =
        is_loose &&
        (!requested_at_ || now >= *requested_at_ + options_.request_pause);
    if (timing.is_request_due) {
        requested_at_ = now;
    }
    return timing;
}

} // namespace savorydock
