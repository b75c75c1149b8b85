#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/fleet/upstream_limits.hpp"

#include <chrono>
#include <cstddef>
#include <map>

namespace savorydock {

/// The fraction of an upstream's limit that batch items use, and the one that
/// single requests use, if the upstream gets both.
inline constexpr double shared_limit_fraction = 0.5;

struct limit_sharing_options {
    instance_id self;
    /// An instance whose entry disappears is counted for this long: entries
    /// also disappear in an outage of the store, and return after it.
    std::chrono::milliseconds retention{15'000};
};

/// Divides the limits of upstreams among the instances without messages: all
/// instances that know the same instances compute the same division.
///
/// A few instances, chosen for each upstream by a hash, use equal parts of its
/// limit; the others send almost all requests to other upstreams. The number of
/// users grows with the limit, so that their bursts together stay small
/// compared with it, whatever the number of instances.
///
/// Not thread safe; deterministic.
class limit_sharing {
public:
    explicit limit_sharing(limit_sharing_options options);

    void on_instance_added(const instance_id& instance);
    void on_instance_removed(const instance_id& instance, steady_time now);

    /// This instance's part of an upstream's limit.
    [[nodiscard]] limit_part part_of(const upstream_id& upstream,
                                     double requests_per_second,
                                     steady_time now);

private:
    limit_sharing_options options_;
    /// Instances and when to stop counting them.
    std::map<instance_id, steady_time> instances_;
};

} // namespace savorydock
