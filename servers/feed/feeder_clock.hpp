#pragma once

#include "core/ids.hpp"
#include "servers/feed/feed_message.hpp"
#include "servers/feed/remote_clock.hpp"

#include <chrono>
#include <optional>

namespace savorydock {

struct feeder_clock_options {
    /// If a heartbeat seems to have taken longer, the bound may only be loose,
    /// and a request can improve it.
    std::chrono::milliseconds max_usual_transit{150};
    /// Minimum time between two such requests.
    std::chrono::milliseconds request_pause{1'000};
};

/// What is known of the time at which a heartbeat was sent. Times are readings
/// of the own boot clock.
struct heartbeat_timing {
    /// Upper bound of the time that the heartbeat was under way; absent if
    /// unknown.
    std::optional<std::chrono::milliseconds> transit;
    /// The time up to which the feeder's copy of the first prefix included the
    /// store's state, at least; absent if unknown.
    std::optional<std::chrono::milliseconds> confirmed_at;
    /// Whether a request should be sent to the feeder for a better bound.
    bool is_request_due = false;
};

/// Dates the heartbeats of the feeder that an instance follows.
///
/// Load pattern: heartbeats arrive seconds late over a slow link, or are read
/// seconds late by an instance that was suspended; see `remote_clock`.
///
/// Not thread safe; deterministic.
class feeder_clock {
public:
    explicit feeder_clock(feeder_clock_options options = {})
        : options_(options) {}

    /// Processes a heartbeat that is read at `now`. Heartbeats of older terms
    /// and of builds that don't state their clock give no times.
    [[nodiscard]] heartbeat_timing on_heartbeat(const feed_heartbeat& heartbeat,
                                                std::chrono::milliseconds now);

private:
    feeder_clock_options options_;
    remote_clock clock_;
    /// The term that `clock_` belongs to: another holder has another clock.
    store_revision term_ = 0;
    std::optional<std::chrono::milliseconds> requested_at_;
};

} // namespace savorydock
