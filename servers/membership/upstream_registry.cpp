#include "servers/membership/upstream_registry.hpp"

#include "servers/membership/stable_hash.hpp"

#include <algorithm>

namespace savorydock {

namespace {

constexpr std::size_t max_reports = 32;

upstream_key key_of(const upstream_record& record) {
    return {record.service, record.upstream};
}

bool raise_revision(store_revision& stored, store_revision candidate) {
    if (candidate <= stored) {
        return false;
    }
    stored = candidate;
    return true;
}

bool is_newer(const zone_report& left, const zone_report& right) {
    return left.sequence > right.sequence ||
           (left.sequence == right.sequence && !left.is_suspected &&
            right.is_suspected);
}

bool merge_report(std::vector<zone_report>& stored, const zone_report& report) {
    const auto found = std::find_if(
        stored.begin(), stored.end(),
        [&](const zone_report& entry) { return entry.zone == report.zone; });
    if (found == stored.end()) {
        if (stored.size() >= max_reports || report.sequence == 0) {
            return false;
        }
        stored.push_back(report);
        // The same order on all instances, because the digest depends on it.
        std::sort(stored.begin(), stored.end(),
                  [](const auto& a, const auto& b) { return a.zone < b.zone; });
        return true;
    }
    if (!is_newer(report, *found)) {
        return false;
    }
    *found = report;
    return true;
}

std::uint64_t name_hash(const upstream_record& record) {
    return stable_hash(record.upstream.text(),
                       stable_hash(record.service.text()));
}

std::uint64_t content_hash(const upstream_record& record) {
    std::uint64_t hash = stable_hash("leaving", record.leaving_through);
    hash = stable_hash("registered", hash ^ record.registered);
    for (const zone_report& report : record.reports) {
        hash = stable_hash(
            report.zone.text(),
            hash ^ (report.sequence * 2 + (report.is_suspected ? 1 : 0)));
    }
    return hash ^ name_hash(record);
}

} // namespace

const zone_report* find_report(const upstream_record& record,
                               const availability_zone& zone) {
    for (const zone_report& report : record.reports) {
        if (report.zone == zone) {
            return &report;
        }
    }
    return nullptr;
}

upstream_record* upstream_registry::find_or_add(const upstream_key& key) {
    const auto found = records_.find(key);
    if (found != records_.end()) {
        return &found->second;
    }
    if (records_.size() >= max_records) {
        return nullptr;
    }
    upstream_record& record = records_[key];
    record.service = key.service;
    record.upstream = key.upstream;
    return &record;
}

bool upstream_registry::merge(const upstream_record& record) {
    upstream_record* stored = find_or_add(key_of(record));
    if (stored == nullptr) {
        return false;
    }
    bool is_updated =
        raise_revision(stored->leaving_through, record.leaving_through);
    is_updated =
        raise_revision(stored->registered, record.registered) || is_updated;
    for (const zone_report& report : record.reports) {
        is_updated = merge_report(stored->reports, report) || is_updated;
    }
    return is_updated;
}

bool upstream_registry::note_leaving(const upstream_key& key,
                                     store_revision through) {
    upstream_record* stored = find_or_add(key);
    // Store revisions start at 1; 0 means not leaving.
    return stored != nullptr &&
           raise_revision(stored->leaving_through,
                          std::max<store_revision>(through, 1));
}

bool upstream_registry::note_registered(const upstream_key& key,
                                        store_revision created) {
    upstream_record* stored = find_or_add(key);
    return stored != nullptr && raise_revision(stored->registered, created);
}

bool upstream_registry::note_report(const upstream_key& key,
                                    const availability_zone& zone,
                                    bool is_suspected) {
    upstream_record* stored = find_or_add(key);
    if (stored == nullptr) {
        return false;
    }
    const zone_report* last = find_report(*stored, zone);
    if (last == nullptr ? !is_suspected : last->is_suspected == is_suspected) {
        return false;
    }
    const std::uint64_t sequence = last == nullptr ? 1 : last->sequence + 1;
    return merge_report(stored->reports, {zone, sequence, is_suspected});
}

void upstream_registry::retain(const std::set<upstream_key>& keys) {
    std::erase_if(records_, [&](const auto& entry) {
        return !keys.contains(entry.first);
    });
}

const upstream_record* upstream_registry::find(const upstream_key& key) const {
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

bool upstream_registry::is_leaving(const upstream_key& key) const {
    const upstream_record* record = find(key);
    return record != nullptr && record->leaving_through > 0 &&
           record->leaving_through >= record->registered;
}

std::vector<std::uint64_t> upstream_registry::digest() const {
    std::vector<std::uint64_t> buckets(bucket_count, 0);
    for (const auto& [key, record] : records_) {
        buckets[name_hash(record) % bucket_count] += content_hash(record);
    }
    return buckets;
}

std::vector<upstream_record>
upstream_registry::differing(const std::vector<std::uint64_t>& mine,
                             const std::vector<std::uint64_t>& theirs,
                             std::size_t limit) const {
    std::vector<upstream_record> found;
    for (const auto& [key, record] : records_) {
        const std::size_t bucket = name_hash(record) % bucket_count;
        if (found.size() < limit && mine[bucket] != theirs[bucket]) {
            found.push_back(record);
        }
    }
    return found;
}

} // namespace savorydock
