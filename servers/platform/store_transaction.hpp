#pragma once

#include "servers/platform/platform_message.hpp"

#include <cstddef>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace savorydock {

/// The store's limit for the entries of one transaction.
inline constexpr std::size_t max_transaction_entries = 32;

/// Requires that a key was last modified at `revision`; 0: that it does not
/// exist.
struct store_condition {
    std::string key;
    store_revision revision = 0;
};

struct store_write {
    std::string key;
    std::string value;
    /// The key is deleted when this lease ends; 0: no lease.
    std::uint64_t lease = 0;
};

/// Writes and deletions that take effect atomically if all conditions hold.
struct store_transaction {
    std::vector<store_condition> conditions;
    std::vector<store_write> writes;
    std::vector<std::string> deletions;
};

/// Returns a transaction with one write. A separate function because GCC 12
/// can't compile these initializer lists inside a coroutine.
[[nodiscard]] inline store_transaction make_write(store_condition condition,
                                                  store_write write) {
    store_transaction transaction;
    transaction.conditions.push_back(std::move(condition));
    transaction.writes.push_back(std::move(write));
    return transaction;
}

/// The transaction took effect, at this revision.
struct transaction_done {
    store_revision revision = 0;
};

/// A condition did not hold. Contains the current values of the keys in the
/// conditions.
struct transaction_conflict {
    std::vector<stored_value> current;
};

using transaction_result = std::variant<transaction_done, transaction_conflict>;

/// A page of the keys with a prefix, sorted by key.
struct store_page {
    std::vector<stored_value> values;
    bool has_more = false;
    store_revision revision = 0;
    /// Items that could not be read. Those with a key are in `values`, with an
    /// empty value.
    std::size_t unreadable = 0;
};

/// One change of a key.
struct store_change {
    stored_value value;
    bool is_removed = false;
};

/// The changes after the requested revision, up to and including `revision`.
struct store_changes {
    std::vector<store_change> changes;
    store_revision revision = 0;
    /// Items that could not be read. Those with a key are in `changes`, with an
    /// empty value.
    std::size_t unreadable = 0;
};

struct store_lease {
    std::uint64_t id = 0;
    std::chrono::milliseconds time_to_live{0};
};

} // namespace savorydock
