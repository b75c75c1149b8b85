#pragma once

#include "core/ids.hpp"

#include <boost/describe/class.hpp>

#include <cstdint>
#include <vector>

namespace savorydock {

/// How much one caller asks of one service, in thousandths of a request a
/// second.
struct limit_demand {
    service_name service;
    caller_id caller;
    std::uint64_t demand = 0;
};
BOOST_DESCRIBE_STRUCT(limit_demand, (), (service, caller, demand))

enum class limit_message_kind : std::uint8_t {
    /// An instance's own demand, to the collectors of its zone.
    report,
    /// A zone's demand, between collectors.
    zone_sum,
    /// The demand of all zones, from a collector to who reported.
    totals,
};

struct limit_message {
    limit_message_kind kind = limit_message_kind::report;
    availability_zone zone;
    std::vector<limit_demand> demands;
};
BOOST_DESCRIBE_STRUCT(limit_message, (), (kind, zone, demands))

} // namespace savorydock
