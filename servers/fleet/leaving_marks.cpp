#include "servers/fleet/leaving_marks.hpp"

#include <limits>

namespace savorydock {

bool leaving_marks::mark(const upstream_id& upstream,
                         std::optional<std::uint64_t> started_at) {
    const std::uint64_t start =
        started_at.value_or(std::numeric_limits<std::uint64_t>::max());
    const auto [known, is_new] = marks_.try_emplace(upstream, start);
    if (!is_new) {
        const bool is_later_start = start > known->second;
        known->second = is_later_start ? start : known->second;
        return is_later_start;
    }
    by_age_.push_back(upstream);
    if (by_age_.size() > max_marks) {
        marks_.erase(by_age_.front());
        by_age_.pop_front();
    }
    return true;
}

bool leaving_marks::is_leaving(const upstream_entry& entry) const {
    const auto known = marks_.find(entry.id);
    return known != marks_.end() && entry.started_at <= known->second;
}

} // namespace savorydock
