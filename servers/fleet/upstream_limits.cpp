#include "servers/fleet/upstream_limits.hpp"

namespace savorydock {

upstream_limits::upstream_limits(upstream_limits_options options)
    : options_(options) {}

bool upstream_limits::on_answer(const upstream_id& upstream,
                                std::optional<double> limit, steady_time now) {
    const auto last = limit_of(upstream, now);
    if (limit) {
        limits_[upstream] = {.requests_per_second = *limit,
                             .confirmed_at = now};
    } else if (!limits_.empty()) {
        limits_.erase(upstream);
    }
    return limit != last;
}

std::optional<double> upstream_limits::limit_of(const upstream_id& upstream,
                                                steady_time now) const {
    const auto found = limits_.find(upstream);
    if (found == limits_.end() ||
        now > found->second.confirmed_at + options_.limit_lifetime) {
        return std::nullopt;
    }
    return found->second.requests_per_second;
}

} // namespace savorydock
