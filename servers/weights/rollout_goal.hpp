#pragma once

#include "core/ids.hpp"
#include "servers/routing/upstream_state.hpp"

#include <chrono>
#include <cstdint>

namespace savorydock {

/// The target and limits of a roll-out, from the service document.
struct rollout_goal {
    service_name service;
    /// The version that upstreams should run; 0: no roll-out.
    weight_version target = 0;
    /// Upstreams at this version or lower may be moved back to `target`.
    weight_version rollback_from = 0;
    /// The fraction of upstreams that must keep serving.
    double capacity_floor = 0.5;
    /// 0 considers only staleness, 1 considers only the idle time of trainers.
    double idle_weight = 0.5;
    /// Maximum concurrent fetches from the weight store by these upstreams; 0:
    /// no known limit.
    std::uint32_t fetches_at_once = 0;

    bool operator==(const rollout_goal&) const = default;
};

/// The state of one upstream that a roll-out plans with.
struct rollout_upstream {
    upstream_id name;
    upstream_condition condition = upstream_condition::serving;
    /// The version in its last state report.
    weight_version version = 0;
    /// An order to it is in flight, or its outcome is unknown.
    bool is_ordered = false;
    /// Its state has been read, and an order may be sent.
    bool is_ready = false;
    /// Requests that run or wait on it as a fraction of its slots; may be above
    /// 1.
    double load = 0;
};

/// Why a swap failed.
enum class swap_failure : std::uint8_t {
    /// The weight store had no capacity; not a fault of the upstream or the
    /// version.
    store_busy,
    /// The upstream could not load the version.
    upstream_failed,
};

struct rollout_options {
    /// Failed swaps after which an upstream is left out of the roll-out of a
    /// version.
    std::uint32_t max_attempts = 3;
    std::chrono::milliseconds first_backoff{2'000};
    std::chrono::milliseconds longest_backoff{60'000};
    /// How long after a swap the reports about an upstream may still be about
    /// the time before it.
    std::chrono::milliseconds settle_time{10'000};
    /// Minimum number of failed upstreams before a roll-out is stopped.
    std::uint32_t min_failed_upstreams = 2;
    /// Minimum number of answers and failures of the swapped upstreams before
    /// their error rate counts.
    std::uint32_t min_answers = 20;
    /// By how much the error rate of swapped upstreams may exceed that of the
    /// others.
    double max_rate_excess = 0.1;
    /// The same for the fraction of upstreams that crashed.
    double max_crash_excess = 0.2;
};

} // namespace savorydock
