#pragma once

#include "servers/cost/upstream_sum.hpp"
#include "servers/platform/store_transaction.hpp"

#include <boost/describe/class.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// How a feed message carries a value.
enum class value_encoding : std::uint8_t {
    plain,
    /// By `encode_delta` without a base.
    compressed,
    /// By `encode_delta` with an earlier version of the key's value.
    delta,
};

/// One changed key of the store in a feed message.
struct feed_change {
    std::string key;
    std::string value;
    store_revision created = 0;
    store_revision modified = 0;
    bool is_removed = false;
    value_encoding encoding = value_encoding::plain;
    /// The revision of the version that a delta builds on.
    store_revision base = 0;
};
BOOST_DESCRIBE_STRUCT(feed_change, (),
                      (key, value, created, modified, is_removed, encoding,
                       base))

/// Stands for an outage so long ago that it has no effect any more.
inline constexpr std::chrono::milliseconds no_outage{60'000};

/// Changes under one key prefix, sent by the feeder of a zone to its followers:
/// all that the feeder noticed at once, or the reply to a request.
struct feed_push {
    std::string prefix;
    /// The feeder's term; numbers of different terms can't be compared.
    store_revision term = 0;
    /// Sequence number of the push within its prefix and term.
    std::uint64_t number = 0;
    /// `changes` holds all keys of the prefix; otherwise only the changes since
    /// the previous push.
    bool is_snapshot = false;
    store_revision revision = 0;
    std::vector<feed_change> changes;
    /// Sent by the root feeder to the feeder of another zone.
    bool is_between_zones = false;
    /// Time since the last outage of the store ended for the feeder; at least
    /// `no_outage` if it knows of none.
    std::chrono::milliseconds since_outage = no_outage;
    /// In the reply to a request that names a revision: `changes` holds all
    /// changes since that revision of the store. Otherwise 0.
    store_revision since = 0;

    /// Whether the receiver needs no earlier push to apply this one.
    [[nodiscard]] bool is_reply() const { return is_snapshot || since != 0; }
};
BOOST_DESCRIBE_STRUCT(feed_push, (),
                      (prefix, term, number, is_snapshot, revision, changes,
                       is_between_zones, since_outage, since))

/// Reports that the feeder is running, and when it last reached the store.
struct feed_heartbeat {
    store_revision term = 0;
    /// Time since the feeder's last contact with the store.
    std::chrono::milliseconds age{0};
    /// Number of the last push of each prefix, in the order of the prefixes.
    std::vector<std::uint64_t> numbers;
    /// Sent by the root feeder to the feeder of another zone.
    bool is_between_zones = false;
    /// Upper bound of the time since the feeder's copy of the first prefix
    /// included the store's state; absent if unknown.
    std::optional<std::chrono::milliseconds> confirmed_age;
    /// The feeder's clock when this was sent; 0 from older builds.
    std::chrono::milliseconds sent_at{0};
    /// If sent in reply to a request: the `sent_at` of that request.
    std::chrono::milliseconds request_sent_at{0};
    /// The work of the zone's instances at upstreams; empty unless calls are
    /// placed by cost.
    std::vector<upstream_sum> work;
};
BOOST_DESCRIBE_STRUCT(feed_heartbeat, (),
                      (term, age, numbers, is_between_zones, confirmed_age,
                       sent_at, request_sent_at, work))

/// Requests the changes that the sender lacks under a prefix.
struct feed_request {
    std::string prefix;
    /// Sent by a zone's feeder to the root feeder.
    bool is_between_zones = false;
    /// Address of the sender as text: the feeder may not know it yet.
    std::string address;
    /// The sender's copy includes all changes up to this revision; 0 if it has
    /// no copy and needs a snapshot.
    store_revision revision = 0;
    /// The sender's clock when this was sent; 0 from older builds.
    std::chrono::milliseconds sent_at{0};
};
BOOST_DESCRIBE_STRUCT(feed_request, (),
                      (prefix, is_between_zones, address, revision, sent_at))

} // namespace savorydock
