#pragma once

#include "core/ids.hpp"

#include <boost/describe/class.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace savorydock {

/// The software that began a stream. Upstreams of another origin can't
/// continue it.
struct stream_origin {
    service_name service;
    software_version software;

    auto operator<=>(const stream_origin&) const = default;
};
BOOST_DESCRIBE_STRUCT(stream_origin, (), (service, software))

/// The origin of one stream as kept in the platform's store.
struct stream_record {
    stream_origin origin;
    /// Unix milliseconds after which nobody continues the stream any more.
    std::int64_t expires_at = 0;
};
BOOST_DESCRIBE_STRUCT(stream_record, (), (origin, expires_at))

/// By name of a route: the origin of all its streams that have no record.
using default_origins = std::map<std::string, stream_origin>;

} // namespace savorydock
