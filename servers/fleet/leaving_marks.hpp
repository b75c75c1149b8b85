#pragma once

#include "servers/fleet/upstream_entry.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace savorydock {

/// The upstreams that said in an answer that they leave. A mark holds for one
/// start of the upstream's process, whatever lists say afterwards: they may be
/// older than the answer.
///
/// Load pattern: a release or a smaller fleet makes upstreams leave one after
/// the other under load, and their answers are ahead of the store's list by the
/// delay of the feed or by an outage.
///
/// Not thread safe; deterministic.
class leaving_marks {
public:
    /// The oldest marks are dropped beyond this number, which exceeds the
    /// upstreams that leave while a list may be out of date.
    static constexpr std::size_t max_marks = 16'384;

    /// Marks an upstream. `started_at` is that of its entry; without an entry
    /// the mark holds for all its starts. Returns false if it was marked
    /// before.
    bool mark(const upstream_id& upstream,
              std::optional<std::uint64_t> started_at);

    /// Whether the start of the upstream that the entry describes, or a later
    /// one, is marked.
    [[nodiscard]] bool is_leaving(const upstream_entry& entry) const;
    /// Whether any start of the upstream is marked.
    [[nodiscard]] bool contains(const upstream_id& upstream) const {
        return marks_.contains(upstream);
    }

private:
    /// The latest marked start, in Unix milliseconds.
    std::map<upstream_id, std::uint64_t> marks_;
    std::deque<upstream_id> by_age_;
};

} // namespace savorydock
