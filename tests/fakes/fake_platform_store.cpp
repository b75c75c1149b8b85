#include "tests/fakes/fake_platform_store.hpp"

#include <algorithm>

namespace savorydock {

bool fake_key_range::contains(const std::string& key) const {
    if (end.empty()) {
        return key == begin;
    }
    const bool is_open = end.size() == 1 && end[0] == '\0';
    return key >= begin && (is_open || key < end);
}

std::vector<stored_value>
fake_platform_store::read(const fake_key_range& range,
                          store_revision minimum) const {
    std::vector<stored_value> found;
    for (const auto& [key, value] : values_) {
        if (range.contains(key) && value.modified >= minimum) {
            found.push_back(value);
        }
    }
    return found;
}

std::optional<stored_value>
fake_platform_store::find(const std::string& key) const {
    const auto found = values_.find(key);
    if (found == values_.end()) {
        return {};
    }
    return found->second;
}

void fake_platform_store::begin() {
    has_written_ = false;
}

bool fake_platform_store::put(const std::string& key, std::string value,
                              std::uint64_t lease) {
    if (lease != 0 && !leases_.contains(lease)) {
        return false;
    }
    const store_revision at = revision_ + 1;
    stored_value& slot = values_[key];
    detach(slot);
    slot.key = key;
    slot.value = std::move(value);
    slot.created = slot.created == 0 ? at : slot.created;
    slot.modified = at;
    slot.lease = lease;
    if (lease != 0) {
        leases_[lease].keys.insert(key);
    }
    history_.push_back({.value = slot});
    has_written_ = true;
    return true;
}

std::size_t fake_platform_store::erase(const fake_key_range& range) {
    std::size_t count = 0;
    for (auto entry = values_.begin(); entry != values_.end();) {
        if (!range.contains(entry->first)) {
            ++entry;
            continue;
        }
        detach(entry->second);
        history_.push_back(
            {.is_delete = true,
             .value = {.key = entry->first, .modified = revision_ + 1}});
        entry = values_.erase(entry);
        has_written_ = true;
        ++count;
    }
    return count;
}

void fake_platform_store::commit() {
    if (has_written_) {
        ++revision_;
    }
    has_written_ = false;
}

std::uint64_t fake_platform_store::grant(std::chrono::seconds time_to_live,
                                         steady_time now) {
    const std::uint64_t lease = next_lease_++;
    leases_[lease] = {.time_to_live = time_to_live, .end = now + time_to_live};
    return lease;
}

std::optional<std::chrono::seconds>
fake_platform_store::keep(std::uint64_t lease, steady_time now) {
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return {};
    }
    found->second.end = now + found->second.time_to_live;
    return found->second.time_to_live;
}

bool fake_platform_store::revoke(std::uint64_t lease) {
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return false;
    }
    const std::set<std::string> keys = found->second.keys;
    begin();
    for (const std::string& key : keys) {
        erase({.begin = key});
    }
    commit();
    leases_.erase(lease);
    return true;
}

void fake_platform_store::expire(steady_time now) {
    std::vector<std::uint64_t> ended;
    for (const auto& [lease, entry] : leases_) {
        if (entry.end <= now) {
            ended.push_back(lease);
        }
    }
    for (const std::uint64_t lease : ended) {
        revoke(lease);
    }
}

std::vector<fake_store_change>
fake_platform_store::changes(const fake_key_range& range,
                             store_revision start) const {
    std::vector<fake_store_change> found;
    for (const fake_store_change& change : history_) {
        if (change.value.modified >= start &&
            range.contains(change.value.key)) {
            found.push_back(change);
        }
    }
    return found;
}

void fake_platform_store::compact(store_revision revision) {
    compacted_ = std::max(compacted_, std::min(revision, revision_));
    std::erase_if(history_, [&](const fake_store_change& change) {
        return change.value.modified <= compacted_;
    });
}

void fake_platform_store::detach(const stored_value& value) {
    const auto found = leases_.find(value.lease);
    if (found != leases_.end()) {
        found->second.keys.erase(value.key);
    }
}

} // namespace savorydock
