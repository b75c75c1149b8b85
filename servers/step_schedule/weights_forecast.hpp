#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>

namespace savorydock {

/// Tracks the newest version of the weights and predicts when the next ones
/// arrive from the intervals between past versions. Not thread safe.
class weights_forecast {
public:
    /// Records that `newest` is now the newest version; ignores versions that
    /// are not newer than the known one.
    void observe(weight_version newest, steady_time now);

    [[nodiscard]] weight_version newest() const { return newest_; }

    /// When the next version is expected, not before `now`. If fewer than two
    /// versions were observed, a time far in the future.
    [[nodiscard]] steady_time next_due(steady_time now) const;

    /// Number of new versions expected until `then`.
    [[nodiscard]] std::uint32_t versions_until(steady_time then,
                                               steady_time now) const;

    /// Smoothed time between versions; zero if unknown.
    [[nodiscard]] std::chrono::duration<double> interval() const {
        return interval_;
    }

private:
    weight_version newest_ = 0;
    steady_time last_version_at_{};
    std::chrono::duration<double> interval_{0};
};

} // namespace savorydock
