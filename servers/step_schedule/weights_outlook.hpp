#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>

namespace savorydock {

/// The newest weights and when the next ones are due, learnt from the times
/// of the past ones. Not thread safe.
class weights_outlook {
public:
    /// Notes that a version is now the newest; older ones are passed over.
    void observe(weight_version newest, steady_time now);

    [[nodiscard]] weight_version newest() const { return newest_; }

    /// When the next version is due; never in the past. Far away if fewer
    /// than two versions were seen.
    [[nodiscard]] steady_time next_due(steady_time now) const;

    /// Versions that will have come by `then`.
    [[nodiscard]] std::uint32_t changes_until(steady_time then,
                                              steady_time now) const;

    /// Mean time between versions; zero if it is not known.
    [[nodiscard]] std::chrono::duration<double> interval() const {
        return interval_;
    }

private:
    weight_version newest_ = 0;
    steady_time last_change_{};
    std::chrono::duration<double> interval_{0};
};

} // namespace savorydock
