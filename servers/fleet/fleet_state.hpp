#pragma once

#include "servers/fleet/attempt_counts.hpp"
#include "servers/fleet/route_table.hpp"
#include "servers/fleet/upstream_pool.hpp"
#include "servers/fleet/view_age.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace savorydock {

/// An instance's view of the fleet. Used by one traffic thread only; the route
/// table is immutable and may be shared between threads.
struct fleet_state {
    /// Null until the first configuration has been received.
    std::shared_ptr<const route_table> routes;
    std::vector<upstream_entry> upstreams;
    upstream_pool pool;
    attempt_counts attempts;
    /// Requests of callers, without batch items, that are being served by this
    /// instance. Entries are never removed.
    std::map<service_name, std::uint64_t> open_requests;
    /// Called when an upstream was marked as leaving in `pool`.
    std::function<void()> on_leaving = [] {};
    /// Called when the request limit that an upstream names has changed.
    std::function<void(const upstream_id&, std::optional<double> limit)>
        on_limit_changed = [](const upstream_id&, std::optional<double>) {};
    /// Called once per request when an upstream has begun, or may have begun,
    /// to run it: with the time of the send, or of a stream's first event. Not
    /// called for batch items and for requests without an organisation.
    std::function<void(const organisation_id&, steady_time)> on_run_began =
        [](const organisation_id&, steady_time) {};
    /// Returns how old `routes` and `upstreams` may be.
    std::function<view_age()> find_view_age = [] { return view_age{}; };
};

} // namespace savorydock
