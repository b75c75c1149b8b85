#pragma once

#include "core/ids.hpp"
#include "core/outcome.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace savorydock {

/// One key of the platform's store with its value.
struct stored_value {
    std::string key;
    std::string value;
    store_revision created = 0;
    store_revision modified = 0;
    std::uint64_t lease = 0;
};

/// Reads one key, or with `is_prefix` all keys that begin with it. Values last
/// modified before `min_modified` are omitted.
struct read_range {
    std::string key;
    bool is_prefix = false;
    store_revision min_modified = 0;
};

/// Writes `value` if the key was last modified at revision `expected` (0: the
/// key does not exist). With a lease, the key is deleted when the lease ends.
/// The revision of the answer is that of the write. If the write did not take
/// effect, `values` contains the current value.
struct compare_and_swap {
    std::string key;
    store_revision expected = 0;
    std::string value;
    std::uint64_t lease = 0;
};

struct grant_lease {
    std::chrono::seconds time_to_live{0};
};

struct renew_lease {
    std::uint64_t lease = 0;
};

struct revoke_lease {
    std::uint64_t lease = 0;
};

/// Waits for changes of keys that begin with `prefix`, from revision `start`
/// on. The reply has the first changes, or is empty if the watch times out. To
/// continue, the caller sends a new watch.
struct watch_prefix {
    std::string prefix;
    store_revision start = 0;
};

using platform_request = std::variant<read_range, compare_and_swap, grant_lease,
                                      renew_lease, revoke_lease, watch_prefix>;

/// The answer of the platform's store.
struct platform_answer {
    /// The revision of the store (not of a key) at the time of the answer.
    store_revision revision = 0;
    /// Compare-and-swap only: the write took effect.
    bool has_swapped = false;
    std::vector<stored_value> values;
    /// Watch only: the keys that were deleted.
    std::vector<std::string> deleted;
    std::uint64_t lease = 0;
    std::chrono::seconds time_to_live{0};
    /// Watch only: revision `start` has been compacted, so the caller must read
    /// the range instead.
    bool is_compacted = false;
};

/// A call to the platform. The caller chooses the ticket.
struct platform_call {
    std::uint64_t ticket = 0;
    platform_request request;
};

/// The reply to the call with the same ticket. After `platform_unreachable`, a
/// write may or may not have taken effect.
struct platform_reply {
    std::uint64_t ticket = 0;
    outcome<platform_answer> answer;
};

} // namespace savorydock
