#pragma once

#include "servers/platform/store_transaction.hpp"

#include <boost/describe/class.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace savorydock {

/// One changed key as instances pass it on.
struct feed_change {
    std::string key;
    std::string value;
    store_revision created = 0;
    store_revision modified = 0;
    bool is_removed = false;
};
BOOST_DESCRIBE_STRUCT(feed_change, (),
                      (key, value, created, modified, is_removed))

/// Changes under one prefix, from the feeder of a zone to its followers.
struct feed_push {
    std::string prefix;
    /// The feeder's term: numbers of different terms don't compare.
    store_revision term = 0;
    /// Counts the pushes of a prefix in a term.
    std::uint64_t number = 0;
    /// The whole prefix; otherwise what changed since the push before.
    bool is_snapshot = false;
    store_revision revision = 0;
    std::vector<feed_change> changes;
};
BOOST_DESCRIBE_STRUCT(feed_push, (),
                      (prefix, term, number, is_snapshot, revision, changes))

/// The feeder lives and has just heard of the store.
struct feed_beat {
    store_revision term = 0;
    /// Age of the feeder's last contact with the store.
    std::chrono::milliseconds age{0};
    /// Numbers of the last pushes, in the order of the prefixes.
    std::vector<std::uint64_t> numbers;
};
BOOST_DESCRIBE_STRUCT(feed_beat, (), (term, age, numbers))

/// A follower has missed a push and wants the whole prefix.
struct feed_request {
    std::string prefix;
};
BOOST_DESCRIBE_STRUCT(feed_request, (), (prefix))

} // namespace savorydock
