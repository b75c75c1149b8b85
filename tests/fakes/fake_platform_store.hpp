#pragma once

#include "core/clock.hpp"
#include "servers/platform/platform_message.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savorydock {

/// One change in the store's history; `value.modified` is its revision.
struct fake_store_change {
    bool is_delete = false;
    stored_value value;
};

/// A half-open range of keys. An empty `end` means the one key `begin`, and
/// an `end` of one zero byte all keys from `begin` on.
struct fake_key_range {
    std::string begin;
    std::string end;

    [[nodiscard]] bool contains(const std::string& key) const;
};

/// The data of the stand-in for the platform's store: one linearizable map
/// with revisions, history and leases, as etcd v3 describes them. Not thread
/// safe.
class fake_platform_store {
public:
    /// The revision of the last write; an empty store is at 1.
    [[nodiscard]] store_revision revision() const { return revision_; }
    [[nodiscard]] store_revision compacted() const { return compacted_; }

    /// Keys of the range last modified at `minimum` or later.
    [[nodiscard]] std::vector<stored_value> read(const fake_key_range& range,
                                                 store_revision minimum) const;
    [[nodiscard]] std::optional<stored_value>
    find(const std::string& key) const;

    /// Begins a write transaction: all writes until `commit` share a revision.
    void begin();
    /// Returns false, and writes nothing, if there is no such lease.
    bool put(const std::string& key, std::string value, std::uint64_t lease);
    std::size_t erase(const fake_key_range& range);
    void commit();

    std::uint64_t grant(std::chrono::seconds time_to_live, steady_time now);
    /// The time to live of the lease kept alive, nothing if it has ended.
    std::optional<std::chrono::seconds> keep(std::uint64_t lease,
                                             steady_time now);
    bool revoke(std::uint64_t lease);
    /// Ends the leases that are over and deletes their keys.
    void expire(steady_time now);

    /// Changes of the range from revision `start` on.
    /// Precondition: `start` is above `compacted()`.
    [[nodiscard]] std::vector<fake_store_change>
    changes(const fake_key_range& range, store_revision start) const;

    /// Forgets the history up to and with `revision`.
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
