#pragma once

#include "servers/membership/membership_message.hpp"
#include "servers/routing/upstream_state.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace savorydock {

/// The mergeable records of all upstreams that anything is known of. Records
/// only grow, so every order of messages ends in the same state. Not thread
/// safe.
class upstream_registry {
public:
    static constexpr std::size_t max_records = 16'384;
    static constexpr std::size_t bucket_count = 32;

    /// Merges a record; returns whether it held news.
    bool merge(const upstream_record& record);

    /// Notes that all registrations up to revision `through` leave.
    bool note_leaving(const upstream_key& key, store_revision through);

    /// Notes a registration.
    bool note_registered(const upstream_key& key, store_revision created);

    /// Notes newer evidence of one zone.
    bool note_report(const upstream_key& key, const availability_zone& zone,
                     bool is_suspected);

    /// Keeps the records of these upstreams only.
    void retain(const std::set<upstream_key>& keys);

    [[nodiscard]] const upstream_record* find(const upstream_key& key) const;
    [[nodiscard]] bool is_leaving(const upstream_key& key) const;

    [[nodiscard]] std::vector<std::uint64_t> digest() const;
    /// Records whose bucket differs between two digests, at most `limit`.
    [[nodiscard]] std::vector<upstream_record>
    differing(const std::vector<std::uint64_t>& mine,
              const std::vector<std::uint64_t>& theirs,
              std::size_t limit) const;

private:
    upstream_record* obtain(const upstream_key& key);

    std::map<upstream_key, upstream_record> records_;
};

/// The report of a zone in a record, or null.
[[nodiscard]] const zone_report* find_report(const upstream_record& record,
                                             const availability_zone& zone);

} // namespace savorydock
