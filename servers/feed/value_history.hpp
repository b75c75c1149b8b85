#pragma once

#include "servers/feed/feed_message.hpp"
#include "servers/platform/store_transaction.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

struct value_history_options {
    /// Shorter values are sent as they are.
    std::size_t min_bytes = 4'096;
    /// Versions kept of each long value.
    std::size_t max_versions = 4;
};

/// Keeps the last versions of long values, and encodes a new version as its
/// difference to one that the receiver has.
///
/// Load pattern: a configuration of more than a thousand routes changes several
/// times a second, one route at a time. Whole copies for each follower of a
/// feeder exceed its link from some dozen followers on.
///
/// Not thread safe; deterministic.
class value_history {
public:
    explicit value_history(value_history_options options = {})
        : options_(options) {}

    /// Records changes of one prefix that were applied, in the store's order.
    void record(const std::vector<store_change>& changes);

    /// Encodes a change for a receiver that has the versions up to `held`; 0 if
    /// it has none.
    [[nodiscard]] feed_change encode(const store_change& change,
                                     store_revision held) const;

    /// Restores a change. Returns nothing if its base isn't known here or its
    /// bytes are damaged.
    [[nodiscard]] std::optional<store_change> decode(feed_change change) const;

private:
    /// The newest kept version up to a revision; null if there is none.
    [[nodiscard]] const stored_value* find(const std::string& key,
                                           store_revision last) const;

    value_history_options options_;
    /// By key, the oldest version first.
    std::map<std::string, std::deque<stored_value>> versions_;
};

} // namespace savorydock
