#pragma once

#include "servers/membership/membership_message.hpp"
#include "servers/routing/upstream_state.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace savorydock {

/// The mergeable records of upstreams. Their values only increase, so messages
/// lead to the same state in any order. Not thread safe.
class upstream_registry {
public:
    static constexpr std::size_t max_records = 16'384;
    static constexpr std::size_t bucket_count = 32;

    /// Merges a record; returns whether anything changed.
    bool merge(const upstream_record& record);

    /// Notes that all registrations up to revision `through` are leaving;
    /// returns whether the record changed.
    bool note_leaving(const upstream_key& key, store_revision through);

    /// Notes a registration at store revision `created`; returns whether the
    /// record changed.
    bool note_registered(const upstream_key& key, store_revision created);

    /// Notes a newer observation of one zone; returns whether the record
    /// changed. A first report without suspicion changes nothing.
    bool note_report(const upstream_key& key, const availability_zone& zone,
                     bool is_suspected);

    /// Removes the records of all upstreams that are not in `keys`.
    void retain(const std::set<upstream_key>& keys);

    [[nodiscard]] const upstream_record* find(const upstream_key& key) const;
    [[nodiscard]] bool is_leaving(const upstream_key& key) const;

    [[nodiscard]] std::vector<std::uint64_t> digest() const;
    /// Returns at most `limit` records in buckets that differ between the two
    /// digests.
    [[nodiscard]] std::vector<upstream_record>
    differing(const std::vector<std::uint64_t>& mine,
              const std::vector<std::uint64_t>& theirs,
              std::size_t limit) const;

private:
    /// Returns null if the record is missing and the registry is full.
    upstream_record* find_or_add(const upstream_key& key);

    std::map<upstream_key, upstream_record> records_;
};

/// Returns the report of a zone in a record, or null.
[[nodiscard]] const zone_report* find_report(const upstream_record& record,
                                             const availability_zone& zone);

} // namespace savorydock
