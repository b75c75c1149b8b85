#include "servers/feed/change_history.hpp"

#include <algorithm>

namespace savorydock {

void change_history::record(const std::vector<store_change>& changes,
                            const key_copy& copy) {
    if (!copy.has_snapshot()) {
        return;
    }
    if (revisions_.empty() || revisions_.back() < copy.revision()) {
        revisions_.push_back(copy.revision());
    }
    if (revisions_.size() > max_revisions_) {
        revisions_.pop_front();
    }
    if (!complete_since_) {
        complete_since_ = copy.revision();
        return;
    }
    for (const store_change& change : changes) {
        if (change.is_removed) {
            removals_.push_back(
                {.key = change.value.key, .modified = change.value.modified});
        }
    }
    while (removals_.size() > max_removals_) {
        complete_since_ =
            std::max(*complete_since_, removals_.front().modified);
        removals_.pop_front();
    }
}

std::optional<std::vector<store_change>>
change_history::changes_since(store_revision revision,
                              const key_copy& copy) const {
    const bool is_known =
        revision >= copy.revision() ||
        std::binary_search(revisions_.begin(), revisions_.end(), revision);
    if (!is_known || !complete_since_ || revision < *complete_since_) {
        return std::nullopt;
    }
    std::vector<store_change> changes;
    for (const auto& [key, value] : copy.values()) {
        if (value.modified > revision) {
            changes.push_back({.value = value});
        }
    }
    for (const stored_value& removed : removals_) {
        if (removed.modified > revision &&
            !copy.values().contains(removed.key)) {
            changes.push_back({.value = removed, .is_removed = true});
        }
    }
    std::stable_sort(changes.begin(), changes.end(),
                     [](const store_change& left, const store_change& right) {
                         return left.value.modified < right.value.modified;
                     });
    return changes;
}

} // namespace savorydock
