#pragma once

#include "core/ids.hpp"
#include "servers/control_server.hpp"

#include <boost/describe/class.hpp>

#include <string>

namespace savorydock {

/// A message between instances as it is encoded in one HTTP/2 stream.
struct peer_envelope {
    instance_id from;
    instance_id to;
    /// The sender's zone.
    availability_zone zone;
    peer_topic topic = peer_topic::membership;
    std::string body;
    /// The key that all instances of a deployment share.
    std::string secret;
};
BOOST_DESCRIBE_STRUCT(peer_envelope, (), (from, to, zone, topic, body, secret))

} // namespace savorydock
