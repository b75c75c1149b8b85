#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"

#include <boost/describe/class.hpp>

#include <cstdint>
#include <vector>

namespace savorydock {

/// What an instance is held to be. Of two records with one incarnation the
/// later condition of this list wins.
enum class member_condition : std::uint8_t {
    alive,
    /// Did not answer; still used until it is held dead.
    suspect,
    dead,
    /// Said itself that it ends.
    left,
};

/// What is known of one instance. Only the instance itself raises its
/// incarnation: at a start, and to refute a suspicion.
struct member_record {
    instance_id name;
    availability_zone zone;
    endpoint address;
    std::uint64_t incarnation = 0;
    member_condition condition = member_condition::alive;

    bool operator==(const member_record&) const = default;
};
BOOST_DESCRIBE_STRUCT(member_record, (),
                      (name, zone, address, incarnation, condition))

/// What the instances of one zone last saw of an upstream. The higher
/// sequence wins; of two with one sequence, the one not suspected.
struct zone_report {
    availability_zone zone;
    std::uint64_t sequence = 0;
    bool is_suspected = false;

    bool operator==(const zone_report&) const = default;
};
BOOST_DESCRIBE_STRUCT(zone_report, (), (zone, sequence, is_suspected))

/// What is known of one upstream beside "it serves". Records merge member by
/// member, each by its maximum, so order and repetition do not matter.
struct upstream_record {
    service_name service;
    upstream_id upstream;
    /// Registrations up to this store revision are leaving; 0 if none is.
    store_revision leaving_through = 0;
    /// The newest registration known; it serves if it is newer than
    /// `leaving_through`.
    store_revision registered = 0;
    std::vector<zone_report> reports;

    bool operator==(const upstream_record&) const = default;
};
BOOST_DESCRIBE_STRUCT(upstream_record, (),
                      (service, upstream, leaving_through, registered, reports))

enum class membership_kind : std::uint8_t {
    ping,
    ack,
    /// Asks the receiver to ping `target` and to pass its ack on.
    ping_request,
    /// Only carries records.
    gossip,
    /// Compares digests; the answer is gossip with what differs.
    digest,
};

/// Every message between instances about instances and upstreams.
struct membership_message {
    membership_kind kind = membership_kind::gossip;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    /// The newest store revision that any instance read a list at.
    store_revision list_revision = 0;
    instance_id target;
    std::vector<member_record> members;
    std::vector<upstream_record> upstreams;
    /// One hash per bucket: the members' buckets, then the upstreams'.
    std::vector<std::uint64_t> digest;
};
BOOST_DESCRIBE_STRUCT(membership_message, (),
                      (kind, sequence, incarnation, list_revision, target,
                       members, upstreams, digest))

} // namespace savorydock
