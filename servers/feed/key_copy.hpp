#pragma once

#include "servers/platform/store_transaction.hpp"

#include <map>
#include <string>
#include <vector>

namespace savorydock {

/// A copy of the keys under one prefix of the store. It only moves forward:
/// whatever the source, a key never goes back to an older revision. Not thread
/// safe; deterministic.
class key_copy {
public:
    /// Takes a whole reading made at `revision`. Returns what it changes.
    std::vector<store_change> replace(std::vector<stored_value> values,
                                      store_revision revision);

    /// Takes changes in the order of the store, up to `revision`. Returns
    /// those that were new.
    std::vector<store_change> merge(std::vector<store_change> changes,
                                    store_revision revision);

    [[nodiscard]] const std::map<std::string, stored_value>& values() const {
        return values_;
    }
    /// The revision up to which all changes are in the copy.
    [[nodiscard]] store_revision revision() const { return revision_; }
    /// Whether there was a whole reading.
    [[nodiscard]] bool is_filled() const { return is_filled_; }

private:
    std::map<std::string, stored_value> values_;
    store_revision revision_ = 0;
    bool is_filled_ = false;
};

} // namespace savorydock
