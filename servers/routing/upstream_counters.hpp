#pragma once

#include "servers/control_server.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace savorydock {

/// What this instance's own traffic knows of one upstream. It outlives the
/// snapshots that refer to it, so that no count is lost when one is swapped.
/// Every method is thread safe and lock free.
class upstream_counters {
public:
    /// Counts a request in flight.
    void begin();

    /// Ends a request that `begin` counted, with what was seen of it. A
    /// latency of zero is none, as of a request that was cancelled.
    void finish(upstream_evidence evidence, std::chrono::microseconds latency);

    [[nodiscard]] std::uint32_t in_flight() const;

    /// Moving average of the latencies seen; 0 before the first.
    [[nodiscard]] std::chrono::microseconds latency() const;

    /// Moving average of failures, 0 (none) to 1 (all).
    [[nodiscard]] double failure_rate() const;

    /// Failures since the last answer.
    [[nodiscard]] std::uint32_t failure_streak() const;

    /// Whether the upstream itself said a moment ago that it leaves; control
    /// has the last word once it has heard it too.
    [[nodiscard]] bool has_said_leaving() const;

    /// Called at each publication: lets `has_said_leaving` run out.
    void on_publication();

private:
    std::atomic<std::uint32_t> in_flight_ = 0;
    std::atomic<std::uint32_t> failure_streak_ = 0;
    std::atomic<std::uint32_t> leaving_publications_ = 0;
    std::atomic<std::int64_t> latency_microseconds_ = 0;
    std::atomic<double> failure_rate_ = 0;
};

} // namespace savorydock
