#pragma once

#include "core/state_chart.hpp"

#include <atomic>
#include <cstdint>
#include <string_view>

namespace savorydock {

/// The state of one request in charts/request_life.json. An event that the
/// chart does not allow leaves the state unchanged and is counted; such an
/// event is a bug in the code, and /metrics shows the count. Used on one
/// traffic thread; the chart and the counter must outlive it.
class request_lifecycle {
public:
    request_lifecycle(const state_chart& chart,
                      std::atomic<std::uint64_t>& violations)
        : position_(chart)
        , violations_(violations) {}

    void fire(std::string_view event) {
        if (!position_.fire(event)) {
            ++violations_;
        }
    }

    [[nodiscard]] const chart_position& position() const { return position_; }

    /// Checks that a chart has the states and events that the interface for
    /// callers uses.
    /// Errors: `invalid_chart`.
    [[nodiscard]] static outcome<done> check_chart(const state_chart& chart) {
        return chart.require({"received", "deciding", "queued", "connecting",
                              "begun", "streaming", "answered", "not_run",
                              "unknown", "failed"},
                             {"ask_right", "gain_right", "refuse", "replay",
                              "enqueue", "pick_upstream", "retry", "hand_bytes",
                              "receive", "finish", "resume", "lose", "fail"});
    }

private:
    chart_position position_;
    std::atomic<std::uint64_t>& violations_;
};

/// Returns the event that ends a request with a result of this class. Thread
/// safe.
[[nodiscard]] constexpr std::string_view end_event_of(result_class kind) {
    switch (kind) {
    case result_class::complete:
        return "finish";
    case result_class::not_run:
        return "refuse";
    case result_class::unknown:
        return "lose";
    default:
        return "fail";
    }
}

} // namespace savorydock
