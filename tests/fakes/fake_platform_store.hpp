#pragma once

#include "core/clock.hpp"
#include "servers/platform/platform_message.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savorydock {

/// One entry of the store's history; `value.modified` is its revision.
struct fake_store_change {
    bool is_delete = false;
    stored_value value;
};

/// A half-open range of keys, as in etcd. An empty `end` selects only the key
/// `begin`; an `end` of one zero byte selects all keys from `begin` on.
struct fake_key_range {
    std::string begin;
    std::string end;

    [[nodiscard]] bool contains(const std::string& key) const;
};

/// The data behind fake_platform: a linearizable map with revisions, history
/// and leases that follow the semantics of etcd v3. Not thread safe.
class fake_platform_store {
public:
    /// The revision of the last write; an empty store has revision 1.
    [[nodiscard]] store_revision revision() const { return revision_; }
    [[nodiscard]] store_revision compacted() const { return compacted_; }

    /// Keys of the range last modified at revision `minimum` or later.
    [[nodiscard]] std::vector<stored_value> read(const fake_key_range& range,
                                                 store_revision minimum) const;
    [[nodiscard]] std::optional<stored_value>
    find(const std::string& key) const;

    /// Begins a write transaction; all writes until `commit` get one revision.
    void begin();
    /// Returns false and writes nothing if the lease doesn't exist. A lease of
    /// 0 means none.
    bool put(const std::string& key, std::string value, std::uint64_t lease);
    std::size_t erase(const fake_key_range& range);
    void commit();

    std::uint64_t grant(std::chrono::seconds time_to_live, steady_time now);
    /// Renews a lease. Returns its time to live, or nothing if it has expired.
    std::optional<std::chrono::seconds> keep(std::uint64_t lease,
                                             steady_time now);
    bool revoke(std::uint64_t lease);
    /// Removes the leases that have expired by `now` and deletes their keys.
    void expire(steady_time now);

    /// Changes of the range from revision `start` on.
    /// Precondition: `start` is above `compacted()`.
    [[nodiscard]] std::vector<fake_store_change>
    changes(const fake_key_range& range, store_revision start) const;

    /// Removes the history up to and including `revision`.
    void compact(store_revision revision);

private:
    struct lease_entry {
        std::chrono::seconds time_to_live{0};
        steady_time end{};
        std::set<std::string> keys;
    };

    void detach(const stored_value& value);

    std::map<std::string, stored_value> values_;
    std::vector<fake_store_change> history_;
    std::map<std::uint64_t, lease_entry> leases_;
    store_revision revision_ = 1;
    store_revision compacted_ = 0;
    std::uint64_t next_lease_ = 7001;
    bool has_written_ = false;
};

} // namespace savorydock
