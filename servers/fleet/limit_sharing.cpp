#include "servers/fleet/limit_sharing.hpp"

#include "servers/membership/stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace savorydock {

namespace {

/// Instances that use a limit, in addition to one per request per second. Each
/// may send one request at once, so this bounds the common burst.
constexpr double extra_users = 3;
/// Common burst of the users, as the time in which the upstream accepts that
/// many requests.
constexpr double burst_seconds = 1;
/// Requests per second with which all instances that don't use a limit find out
/// together whether it still applies.
constexpr double probes_per_second = 0.1;

} // namespace

limit_sharing::limit_sharing(limit_sharing_options options)
    : options_(std::move(options)) {
    on_instance_added(options_.self);
}

void limit_sharing::on_instance_added(const instance_id& instance) {
    instances_[instance] = steady_time::max();
}

void limit_sharing::on_instance_removed(const instance_id& instance,
                                        steady_time now) {
    if (instance != options_.self && instances_.contains(instance)) {
        instances_[instance] = now + options_.retention;
    }
}

limit_part limit_sharing::part_of(const upstream_id& upstream,
                                  double requests_per_second, steady_time now) {
    std::erase_if(instances_,
                  [now](const auto& row) { return row.second <= now; });
    const auto users = static_cast<std::size_t>(
        std::min(static_cast<double>(instances_.size()),
                 std::floor(requests_per_second) + extra_users));
    const std::uint64_t seed = stable_hash(upstream.text());
    const auto weight_of = [seed](const instance_id& instance) {
        return stable_hash(instance.text(), seed);
    };
    const std::uint64_t own_weight = weight_of(options_.self);
    const auto rank = static_cast<std::size_t>(std::count_if(
        instances_.begin(), instances_.end(),
        [&](const auto& row) { return weight_of(row.first) > own_weight; }));
    if (rank >= users) {
        return {.requests_per_second =
                    probes_per_second /
                    static_cast<double>(instances_.size() - users),
                .starts_empty = true};
    }
    const double part = std::max(requests_per_second, probes_per_second) /
                        static_cast<double>(users);
    return {.requests_per_second = part,
            .burst = std::max(1.0, burst_seconds * part)};
}

} // namespace savorydock
