#pragma once

#include "servers/feed/key_copy.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// Remembers the keys that were removed from a `key_copy`, so that the changes
/// since a recent revision can be told from the copy.
///
/// Load pattern: the configuration changes several times a second, and each
/// follower of a feeder may lack other changes than the rest. Each gets the
/// newest value of what it lacks, and no value that was replaced meanwhile.
///
/// Not thread safe; deterministic.
class change_history {
public:
    explicit change_history(std::size_t max_removals = 1'024,
                            std::size_t max_revisions = 1'024)
        : max_removals_(max_removals)
        , max_revisions_(max_revisions) {}

    /// Records changes that were just applied to `copy`. Precondition: called
    /// after each update of the same copy.
    void record(const std::vector<store_change>& changes, const key_copy& copy);

    /// Returns the newest change of each key that changed after `revision`, in
    /// the store's order. Returns nothing if that isn't known: too long ago, or
    /// between two updates of the copy, when a key may have existed that the
    /// copy never had.
    [[nodiscard]] std::optional<std::vector<store_change>>
    changes_since(store_revision revision, const key_copy& copy) const;

private:
    std::size_t max_removals_;
    std::size_t max_revisions_;
    /// The revisions of the copy after its last updates, in ascending order.
    std::deque<store_revision> revisions_;
    /// Removals after this revision are known; empty until the first snapshot.
    std::optional<store_revision> complete_since_;
    std::deque<stored_value> removals_;
};

} // namespace savorydock
