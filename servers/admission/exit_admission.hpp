#pragma once

#include "core/clock.hpp"
#include "servers/fleet/fleet_configuration.hpp"

#include <chrono>
#include <optional>

namespace savorydock {

struct exit_admission_options {
    /// Time before the exit at which running requests are answered.
    std::chrono::milliseconds answer_time{100};
    /// A request that may be repeated is sent if this multiple of its usual
    /// time is left.
    int repeatable_call_times = 3;
    /// The same for a request that must not run twice: its caller can't repeat
    /// it if the exit cuts it.
    int unrepeatable_call_times = 8;
    std::chrono::milliseconds min_unrepeatable_time{2'000};
    /// Time in which nearly all streams end.
    std::chrono::milliseconds stream_time{5'000};
    /// Time in which the store takes nearly all submissions.
    std::chrono::milliseconds submission_time{1'000};
};

/// A request that is about to be sent to an upstream or to the store.
struct exiting_request {
    request_kind kind = request_kind::idempotent;
    /// The time at which it is answered in any case.
    steady_time deadline;
    /// How long its upstream usually takes, by the route and by recent calls.
    std::chrono::microseconds usual_time{0};
};

/// Decides which requests may still be sent on before the instance exits.
///
/// Load pattern: an instance is stopped as planned while callers go on using
/// open connections until the process exits, and a few requests take far longer
/// than usual. Requests whose answer can't be expected in time are refused as
/// not run, so that they run at another instance. Those that must not run twice
/// are refused earlier than others.
///
/// Not thread safe; deterministic.
class exit_admission {
public:
    explicit exit_admission(exit_admission_options options = {});

    /// The instance exits at this time.
    void set_exit_time(steady_time time) { exit_time_ = time; }

    [[nodiscard]] bool may_send(const exiting_request& request,
                                steady_time now) const;

    /// Returns the time by which a request with this deadline must be answered.
    [[nodiscard]] steady_time answer_by(steady_time deadline) const;

private:
    exit_admission_options options_;
    std::optional<steady_time> exit_time_;
};

} // namespace savorydock
