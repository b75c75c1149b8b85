#pragma once

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "servers/cost/placement.hpp"
#include "servers/fleet/call_outcome.hpp"
#include "servers/fleet/leaving_marks.hpp"
#include "servers/fleet/upstream_entry.hpp"
#include "servers/fleet/upstream_limits.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace savorydock {

struct upstream_pool_options {
    /// Availability zone of this instance, which sends the calls.
    availability_zone zone;
    /// Added to the expected time of a call to an upstream in another zone;
    /// corresponds to a few round trips between zones.
    std::chrono::microseconds cross_zone_cost{3'000};
    /// How long a failed upstream gets no calls while others are available.
    /// Doubled with each consecutive failure, up to `max_backoff`.
    std::chrono::milliseconds initial_backoff{300};
    std::chrono::milliseconds max_backoff{5'000};
    /// Backoff of an upstream that was full; about the duration of a call.
    std::chrono::milliseconds backoff_when_full{60};
    /// Expected duration of a call until one has been measured.
    std::chrono::milliseconds default_call_time{50};
    /// Divides limits that upstreams name. By default this instance uses all of
    /// them.
    limit_division divide_limit = [](const upstream_id&, double limit,
                                     steady_time) {
        return limit_part{.requests_per_second = limit, .burst = limit};
    };
    /// If present, the expected time is that of `placement` instead of the
    /// smoothed call time.
    std::optional<placement_options> by_cost;
};

/// Chooses an upstream for each call, for all services.
///
/// Load pattern: short interactive calls alongside bursts of scoring calls, on
/// a few upstreams of different speed. Several instances send calls, and each
/// knows only its own.
///
/// The upstream with the shortest expected time is chosen. This time is
/// estimated from the measured call time and this instance's calls in
/// progress, so an upstream that becomes slow or is loaded by other instances
/// gets fewer calls at once. An upstream in another zone is chosen only if it
/// saves more than `cross_zone_cost`. Failures put an upstream into backoff for
/// an increasing time. If all upstreams are in backoff, the one whose backoff
/// ends first is chosen, so that a network partition does not reject calls
/// that could be served. The time until an upstream's named limit allows the
/// next call counts as part of its expected time.
///
/// Not thread safe; deterministic.
class upstream_pool {
public:
    explicit upstream_pool(upstream_pool_options options);

    void set_upstreams(const std::vector<upstream_entry>& upstreams);

    /// Returns the upstream of the service with the shortest expected time
    /// that is neither in `tried` nor draining, or nothing if there is none. If
    /// `software` isn't null, only upstreams of that version are considered.
    /// `cost` is the estimate for the call if calls are placed by cost.
    [[nodiscard]] std::optional<upstream_entry>
    choose(const service_name& service, const std::set<upstream_id>& tried,
           steady_time now, const software_version* software = nullptr,
           const call_cost* cost = nullptr);

    /// Null if calls are not placed by cost.
    [[nodiscard]] placement* by_cost() {
        return by_cost_ ? &*by_cost_ : nullptr;
    }
    [[nodiscard]] const placement* by_cost() const {
        return by_cost_ ? &*by_cost_ : nullptr;
    }

    /// The upstream said that it leaves. It counts as draining from now on,
    /// whatever the lists say. Returns false if that was known.
    bool mark_leaving(const upstream_id& upstream);
    /// Whether the upstream said that it leaves.
    [[nodiscard]] bool is_leaving(const upstream_id& upstream) const;
    [[nodiscard]] bool is_leaving(const upstream_entry& entry) const {
        return leaving_.is_leaving(entry);
    }

    /// Whether the upstream is listed and not draining.
    [[nodiscard]] bool is_available(const upstream_id& upstream) const;

    /// Whether the service has an upstream of this version, also a draining
    /// one.
    [[nodiscard]] bool has_software(const service_name& service,
                                    const software_version& software) const;

    void on_started(const upstream_id& upstream);
    void on_ended(const upstream_id& upstream, call_outcome end,
                  std::chrono::microseconds time, steady_time now);

    /// The same for a call that was placed by cost. Returns its number for
    /// `on_ended`. Precondition: `by_cost` isn't null.
    std::uint64_t on_started(const upstream_id& upstream, const call_cost& cost,
                             steady_time now);
    void on_ended(const upstream_id& upstream, const call_cost& cost,
                  std::uint64_t call, call_outcome end,
                  std::chrono::microseconds time, steady_time now);

    /// Exponentially smoothed duration of calls to the upstream.
    [[nodiscard]] std::chrono::microseconds
    smoothed_call_time(const upstream_id& upstream) const;

    /// The limits of the request rate that upstreams have named.
    [[nodiscard]] upstream_limits& limits() { return limits_; }
    [[nodiscard]] const upstream_limits& limits() const { return limits_; }

    /// Total slots of the service's upstreams that are not draining.
    [[nodiscard]] std::size_t slots_of(const service_name& service) const;

private:
    struct state {
        upstream_entry entry;
        std::uint32_t in_progress = 0;
        std::uint32_t consecutive_failures = 0;
        steady_time backoff_until{};
        double smoothed_microseconds = 0;
    };

    [[nodiscard]] double cost_of(const state& candidate,
                                 steady_time::duration wait) const;
    [[nodiscard]] std::chrono::microseconds
    path_to(const state& candidate, steady_time::duration wait) const;
    [[nodiscard]] const state*
    choose_by_cost(const std::vector<const state*>& candidates,
                   const call_cost& cost, steady_time now);

    upstream_pool_options options_;
    std::map<upstream_id, state> upstreams_;
    upstream_limits limits_;
    leaving_marks leaving_;
    std::optional<placement> by_cost_;
};

} // namespace savorydock
