#pragma once

#include "servers/platform/store_transaction.hpp"

#include <map>
#include <string>
#include <vector>

namespace savorydock {

/// A copy of the keys under one prefix of the store. The copy never goes back
/// to an older revision, whatever the source of an update: a late update
/// neither restores an older value nor a key that was removed meanwhile.
/// Not thread safe; deterministic.
class key_copy {
public:
    /// Applies a snapshot of the complete prefix, read at `revision`, unless
    /// the copy is newer. Returns the changes to the copy.
    std::vector<store_change> replace(std::vector<stored_value> values,
                                      store_revision revision);

    /// Applies all changes of the prefix between `this->revision()` and
    /// `revision`, in the order of the store; earlier ones are ignored. Returns
    /// those that were not in the copy yet.
    std::vector<store_change> merge(std::vector<store_change> changes,
                                    store_revision revision);

    [[nodiscard]] const std::map<std::string, stored_value>& values() const {
        return values_;
    }
    /// The copy includes all changes up to this revision.
    [[nodiscard]] store_revision revision() const { return revision_; }
    /// Whether a snapshot was applied.
    [[nodiscard]] bool has_snapshot() const { return has_snapshot_; }

private:
    std::map<std::string, stored_value> values_;
    store_revision revision_ = 0;
    bool has_snapshot_ = false;
};

} // namespace savorydock
