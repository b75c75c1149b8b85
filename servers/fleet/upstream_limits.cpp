#include "servers/fleet/upstream_limits.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

namespace {

/// How often a limit that stays the same is divided again, because the number
/// of senders may have changed.
constexpr std::chrono::milliseconds division_interval{1'000};

std::chrono::nanoseconds burst_time(const limit_part& part) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(std::max(part.burst, 1.0) /
                                      part.requests_per_second));
}

} // namespace

upstream_limits::upstream_limits(limit_division divide)
    : divide_(std::move(divide)) {}

void upstream_limits::divide(const upstream_id& upstream, named_limit& limit,
                             steady_time now) {
    limit.divided_at = now;
    const limit_part part = divide_(upstream, *limit.requests_per_second, now);
    if (limit.bucket) {
        limit.bucket->set_rate(part.requests_per_second, burst_time(part), now);
        return;
    }
    limit.bucket = std::make_unique<token_bucket>(part.requests_per_second,
                                                  burst_time(part));
    if (part.starts_empty) {
        limit.bucket->reserve(now);
    }
}

bool upstream_limits::on_answer(const upstream_id& upstream,
                                std::optional<double> requests_per_second,
                                steady_time answered_at) {
    auto found = limits_.find(upstream);
    if (found == limits_.end()) {
        if (!requests_per_second) {
            return false;
        }
        found = limits_.try_emplace(upstream).first;
    } else if (answered_at < found->second.answered_at) {
        return false;
    }
    named_limit& limit = found->second;
    const bool is_changed = limit.requests_per_second != requests_per_second;
    limit.requests_per_second = requests_per_second;
    limit.answered_at = answered_at;
    if (!requests_per_second) {
        limit.bucket.reset();
    } else if (is_changed ||
               answered_at >= limit.divided_at + division_interval) {
        divide(upstream, limit, answered_at);
    }
    return is_changed;
}

void upstream_limits::retain(const std::set<upstream_id>& upstreams) {
    std::erase_if(limits_, [&](const auto& row) {
        return !upstreams.contains(row.first);
    });
}

std::optional<double>
upstream_limits::limit_of(const upstream_id& upstream) const {
    const auto found = limits_.find(upstream);
    return found == limits_.end() ? std::nullopt
                                  : found->second.requests_per_second;
}

steady_time upstream_limits::next_send_time(const upstream_id& upstream,
                                            steady_time now) const {
    const auto found = limits_.find(upstream);
    return found == limits_.end() || !found->second.bucket
               ? now
               : found->second.bucket->next_time(now);
}

void upstream_limits::reserve(const upstream_id& upstream, steady_time now) {
    const auto found = limits_.find(upstream);
    if (found != limits_.end() && found->second.bucket) {
        found->second.bucket->reserve(now);
    }
}

} // namespace savorydock
