#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"

#include <boost/describe/class.hpp>

#include <cstdint>
#include <vector>

namespace savorydock {

/// Condition of an instance as seen by its peers. Of two records with the same
/// incarnation, the one whose condition comes later in this list wins.
enum class member_condition : std::uint8_t {
    alive,
    /// Did not answer a probe; treated as living until it is declared dead.
    suspect,
    dead,
    /// Announced its own shutdown.
    left,
};

/// What is known about one instance. Only the instance itself raises its
/// incarnation: when it starts, and to refute a suspicion.
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

/// Latest observation of an upstream by the instances of one zone. The report
/// with the higher sequence wins; of two with the same sequence, the one
/// without suspicion.
struct zone_report {
    availability_zone zone;
    std::uint64_t sequence = 0;
    bool is_suspected = false;

    bool operator==(const zone_report&) const = default;
};
BOOST_DESCRIBE_STRUCT(zone_report, (), (zone, sequence, is_suspected))

/// Leaving state, newest registration and health reports of an upstream.
/// Records are merged field by field, each to its maximum, so the order and
/// repetition of merges do not matter.
struct upstream_record {
    service_name service;
    upstream_id upstream;
    /// Registrations up to this store revision are leaving; 0 if none are.
    store_revision leaving_through = 0;
    /// Store revision of the newest known registration. The upstream is not
    /// leaving if this is newer than `leaving_through`.
    store_revision registered = 0;
    std::vector<zone_report> reports;

    bool operator==(const upstream_record&) const = default;
};
BOOST_DESCRIBE_STRUCT(upstream_record, (),
                      (service, upstream, leaving_through, registered, reports))

enum class membership_kind : std::uint8_t {
    ping,
    ack,
    /// Requests that the receiver ping `target` and forward its ack.
    ping_request,
    /// Only carries records.
    gossip,
    /// Compares digests; answered with gossip of the records that differ.
    digest,
};

/// Message between instances about the state of instances and upstreams.
struct membership_message {
    membership_kind kind = membership_kind::gossip;
    std::uint64_t sequence = 0;
    /// Incarnation of the sender.
    std::uint64_t incarnation = 0;
    /// Newest store revision at which any instance read the platform's list,
    /// as far as the sender knows.
    store_revision list_revision = 0;
    instance_id target;
    std::vector<member_record> members;
    std::vector<upstream_record> upstreams;
    /// One hash per bucket: first the buckets of members, then of upstreams.
    std::vector<std::uint64_t> digest;
};
BOOST_DESCRIBE_STRUCT(membership_message, (),
                      (kind, sequence, incarnation, list_revision, target,
                       members, upstreams, digest))

} // namespace savorydock
