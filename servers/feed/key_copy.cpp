#include "servers/feed/key_copy.hpp"

#include <algorithm>
#include <set>

namespace savorydock {

std::vector<store_change> key_copy::replace(std::vector<stored_value> values,
                                            store_revision revision) {
    std::vector<store_change> changes;
    if (has_snapshot_ && revision < revision_) {
        return changes;
    }
    std::set<std::string> present;
    for (stored_value& value : values) {
        present.insert(value.key);
        stored_value& known = values_[value.key];
        if (known.modified < value.modified) {
            known = value;
            changes.push_back({.value = std::move(value)});
        }
    }
    for (auto at = values_.begin(); at != values_.end();) {
        if (present.contains(at->first) || at->second.modified > revision) {
            ++at;
            continue;
        }
        // The removal happened after the last change of the value. Other copies
        // ignore changes that are not newer than they are.
        at->second.modified = revision;
        changes.push_back({.value = std::move(at->second), .is_removed = true});
        at = values_.erase(at);
    }
    revision_ = std::max(revision_, revision);
    has_snapshot_ = true;
    return changes;
}

std::vector<store_change> key_copy::merge(std::vector<store_change> changes,
                                          store_revision revision) {
    std::vector<store_change> applied;
    for (store_change& change : changes) {
        if (has_snapshot_ && change.value.modified <= revision_) {
            continue;
        }
        const auto known = values_.find(change.value.key);
        const bool is_known = known != values_.end();
        if (is_known && known->second.modified >= change.value.modified) {
            continue;
        }
        if (change.is_removed) {
            if (!is_known) {
                continue;
            }
            values_.erase(known);
        } else {
            values_[change.value.key] = change.value;
        }
        applied.push_back(std::move(change));
    }
    // Without a snapshot the copy isn't complete through any revision.
    if (has_snapshot_) {
        revision_ = std::max(revision_, revision);
    }
    return applied;
}

} // namespace savorydock
