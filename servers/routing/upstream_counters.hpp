#pragma once

#include "servers/control_server.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace savorydock {

/// Counts and averages of this instance's requests to one upstream. Successive
/// snapshots share them, so that no count is lost when a snapshot is
/// replaced. Every method is thread safe and lock free.
class upstream_counters {
public:
    /// Counts a request in flight.
    void begin();

    /// Ends a request that `begin` counted and records its result. A latency of
    /// zero means that none was measured, for example because the request was
    /// cancelled.
    void finish(upstream_evidence evidence, std::chrono::microseconds latency);

    [[nodiscard]] std::uint32_t in_flight() const;

    /// Moving average of the measured latencies; 0 if there is none yet.
    [[nodiscard]] std::chrono::microseconds latency() const;

    /// Moving average of the fraction of requests that failed, from 0 to 1.
    [[nodiscard]] double failure_rate() const;

    /// Number of failures since the last answer.
    [[nodiscard]] std::uint32_t failure_streak() const;

    /// Whether the upstream itself reported recently that it is leaving. This
    /// covers the time until the control thread learns of it; from then on the
    /// published condition applies.
    [[nodiscard]] bool has_reported_leaving() const;

    /// Must be called at each publication. After a few of them
    /// `has_reported_leaving` becomes false again.
    void on_publication();

private:
    std::atomic<std::uint32_t> in_flight_ = 0;
    std::atomic<std::uint32_t> failure_streak_ = 0;
    std::atomic<std::uint32_t> leaving_publications_ = 0;
    std::atomic<std::int64_t> latency_microseconds_ = 0;
    std::atomic<double> failure_rate_ = 0;
};

} // namespace savorydock
