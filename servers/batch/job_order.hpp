#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace savorydock {

/// What the order of an open job depends on.
struct open_job {
    /// 0 is the highest.
    std::uint32_t priority = 5;
    /// When the trainer needs its groups.
    steady_time due;
};

/// Returns the indexes of the jobs in the order in which they get engines: by
/// priority, then by due time, then in the order given. Thread safe.
[[nodiscard]] std::vector<std::size_t>
order_by_urgency(const std::vector<open_job>& jobs);

} // namespace savorydock
