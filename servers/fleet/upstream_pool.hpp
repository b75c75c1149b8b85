#pragma once

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "servers/fleet/upstream_entry.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace savorydock {

struct upstream_pool_options {
    /// The zone of the instance that sends.
    availability_zone zone;
    /// What a hop to another zone and back adds, for the comparison with an
    /// upstream's own time; a few round trips of today's sites.
    std::chrono::microseconds zone_cost{3'000};
    /// How long an upstream that failed gets nothing while others serve;
    /// doubled with each further failure in a row, up to the second figure.
    std::chrono::milliseconds first_pause{300};
    std::chrono::milliseconds longest_pause{5'000};
    /// Pause of an upstream that was full: about one call's time.
    std::chrono::milliseconds full_pause{60};
    /// Time that is assumed for a call before any was measured.
    std::chrono::milliseconds assumed_time{50};
};

/// How a call ended, as far as it tells about its upstream.
enum class call_end : std::uint8_t {
    answered,
    /// It stated that it didn't run the call.
    full,
    /// It broke off, was silent or sent what is no answer.
    failed,
    /// The caller left; says nothing about the upstream.
    cancelled,
};

/// Chooses upstreams for single calls of all services.
///
/// Load pattern: short calls of booth consoles beside bursts of scoring calls
/// on a few upstreams of unequal speed, sent by several instances that know
/// only their own calls. The expected time decides: own calls in progress
/// times the measured time, which makes an upstream that turned slow or is
/// flooded by others lose calls at once, and a hop to another zone is taken
/// only if it saves more than it costs. Failures set an upstream aside for a
/// growing time; if all are set aside, the one that returns first is taken, so
/// that a cut of the network never refuses what could be served.
///
/// Not thread safe; deterministic.
class upstream_pool {
public:
    explicit upstream_pool(upstream_pool_options options);

    void set_upstreams(const std::vector<upstream_entry>& upstreams);

    /// Returns the best upstream of the service that is not in `tried`, or
    /// nothing. A draining upstream is never chosen.
    [[nodiscard]] std::optional<upstream_entry>
    choose(const service_name& service, const std::set<upstream_id>& tried,
           steady_time now) const;

    void on_started(const upstream_id& upstream);
    void on_ended(const upstream_id& upstream, call_end end,
                  std::chrono::microseconds time, steady_time now);

    /// The smoothed time of a call at the upstream.
    [[nodiscard]] std::chrono::microseconds
    typical_time(const upstream_id& upstream) const;

    /// Slots of all upstreams of the service that take work.
    [[nodiscard]] std::size_t slots_of(const service_name& service) const;

private:
    struct state {
        upstream_entry entry;
        std::uint32_t in_progress = 0;
        std::uint32_t failures_in_row = 0;
        steady_time not_before{};
        double microseconds = 0;
    };

    [[nodiscard]] double cost_of(const state& candidate) const;

    upstream_pool_options options_;
    std::map<upstream_id, state> upstreams_;
};

} // namespace savorydock
