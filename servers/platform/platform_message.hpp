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

/// One key of the platform's store as read.
struct stored_value {
    std::string key;
    std::string value;
    store_revision created = 0;
    store_revision modified = 0;
    std::uint64_t lease = 0;
};

/// Reads the key, or with `is_prefix` all keys that begin with it. Values last
/// modified before `min_modified` are left out.
struct read_range {
    std::string key;
    bool is_prefix = false;
    store_revision min_modified = 0;
};

/// Writes `value` if the key's last revision is `expected` (0: no such key).
/// With a lease the key vanishes when the lease ends. The answer's revision is
/// that of the write; if it did not take effect, `values` has the current one.
struct compare_and_swap {
    std::string key;
    store_revision expected = 0;
    std::string value;
    std::uint64_t lease = 0;
};

struct grant_lease {
    std::chrono::seconds time_to_live{0};
};

struct keep_lease {
    std::uint64_t lease = 0;
};

struct revoke_lease {
    std::uint64_t lease = 0;
};

/// Waits for changes of keys that begin with `prefix`, from `start` on. The
/// reply comes with the first changes, or empty when the watch times out; the
/// caller then calls again.
struct watch_prefix {
    std::string prefix;
    store_revision start = 0;
};

using platform_request = std::variant<read_range, compare_and_swap, grant_lease,
                                      keep_lease, revoke_lease, watch_prefix>;

/// What the platform's store answered.
struct platform_answer {
    /// The revision of the whole store at the time of the answer.
    store_revision revision = 0;
    /// Of a compare-and-swap: it took effect.
    bool has_swapped = false;
    std::vector<stored_value> values;
    /// Keys that a watch saw deleted.
    std::vector<std::string> deleted;
    std::uint64_t lease = 0;
    std::chrono::seconds time_to_live{0};
    /// Of a watch: `start` is compacted away, read the range instead.
    bool is_compacted = false;
};

/// A call to the platform. Tickets are the caller's own.
struct platform_call {
    std::uint64_t ticket = 0;
    platform_request request;
};

/// A failed answer is `platform_unreachable`: a write may or may not have
/// taken effect.
struct platform_reply {
    std::uint64_t ticket = 0;
    outcome<platform_answer> answer;
};

} // namespace savorydock
