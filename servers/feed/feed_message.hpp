#pragma once

#include "servers/platform/store_transaction.hpp"

#include <boost/describe/class.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace savorydock {

/// One changed key of the store in a feed message.
struct feed_change {
    std::string key;
    std::string value;
    store_revision created = 0;
    store_revision modified = 0;
    bool is_removed = false;
};
BOOST_DESCRIBE_STRUCT(feed_change, (),
                      (key, value, created, modified, is_removed))

/// Changes under one key prefix, sent by the feeder of a zone to its followers.
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
};
BOOST_DESCRIBE_STRUCT(feed_push, (),
                      (prefix, term, number, is_snapshot, revision, changes))

/// Reports that the feeder is running, and when it last reached the store.
struct feed_heartbeat {
    store_revision term = 0;
    /// Time since the feeder's last contact with the store.
    std::chrono::milliseconds age{0};
    /// Number of the last push of each prefix, in the order of the prefixes.
    std::vector<std::uint64_t> numbers;
};
BOOST_DESCRIBE_STRUCT(feed_heartbeat, (), (term, age, numbers))

/// Requests a snapshot of a prefix; sent by a follower that missed a push.
struct feed_request {
    std::string prefix;
};
BOOST_DESCRIBE_STRUCT(feed_request, (), (prefix))

} // namespace savorydock
