#pragma once

#include "core/ids.hpp"

#include <boost/describe/class.hpp>

#include <cstdint>

namespace savorydock {

/// The work of instances at one upstream in a period of their reports.
struct upstream_sum {
    upstream_id upstream;
    /// Mean work left of their calls, in microseconds.
    std::uint64_t work = 0;
};
BOOST_DESCRIBE_STRUCT(upstream_sum, (), (upstream, work))

} // namespace savorydock
