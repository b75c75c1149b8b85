#pragma once

#include "core/ids.hpp"

#include <boost/describe/class.hpp>

#include <cstdint>
#include <vector>

namespace savorydock {

/// The request rate of one caller on one service. `demand` is in thousandths of
/// a request per second.
struct limit_demand {
    service_name service;
    caller_id caller;
    std::uint64_t demand = 0;
};
BOOST_DESCRIBE_STRUCT(limit_demand, (), (service, caller, demand))

enum class limit_message_kind : std::uint8_t {
    /// The demand on one instance, sent to the collectors of its zone.
    report,
    /// The demand on a zone, sent between collectors of different zones.
    zone_sum,
    /// The demand on all zones, sent by a collector to the instances that
    /// report to it.
    totals,
};

struct limit_message {
    limit_message_kind kind = limit_message_kind::report;
    availability_zone zone;
    std::vector<limit_demand> demands;
};
BOOST_DESCRIBE_STRUCT(limit_message, (), (kind, zone, demands))

} // namespace savorydock
