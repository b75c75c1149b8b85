#pragma once

#include "core/ids.hpp"
#include "servers/routing/upstream_state.hpp"

#include <chrono>
#include <cstdint>

namespace savorydock {

/// What a roll-out is to reach and what bounds it; from the document.
struct rollout_goal {
    service_name service;
    /// The version that upstreams should run; 0 leaves them alone.
    weight_version target = 0;
    /// Upstreams at up to this version may be ordered back to `target`.
    weight_version rollback_from = 0;
    /// The fraction of upstreams that must stay in service.
    double capacity_floor = 0.5;
    /// 0 weighs staleness only, 1 weighs trainer idle time only.
    double idle_weight = 0.5;
    /// Fetches from the store at once for these upstreams; 0: not known.
    std::uint32_t fetches_at_once = 0;

    bool operator==(const rollout_goal&) const = default;
};

/// One upstream as a roll-out sees it.
struct rollout_upstream {
    upstream_id name;
    upstream_condition condition = upstream_condition::serving;
    /// The version that it read back last.
    weight_version version = 0;
    /// An order to it is in flight or has no known outcome.
    bool is_ordered = false;
    /// Its state has been read back and it may be ordered.
    bool is_ready = false;
    /// Busy slots as a fraction of all its slots.
    double load = 0;
};

/// Why a swap failed.
enum class swap_failure : std::uint8_t {
    /// The weight store had no room; nobody is to blame.
    store_busy,
    /// The upstream could not load the version.
    upstream_failed,
};

struct rollout_options {
    /// Failed swaps after which an upstream is left out of a version.
    std::uint32_t max_attempts = 3;
    std::chrono::milliseconds first_backoff{2'000};
    std::chrono::milliseconds longest_backoff{60'000};
    /// How long the word about an upstream may lag behind its swap.
    std::chrono::milliseconds settle_time{10'000};
    /// Upstreams that must have failed before a roll-out is stopped.
    std::uint32_t min_failed_upstreams = 2;
    /// Answers that a group must have before its error rate counts.
    std::uint32_t min_answers = 20;
    /// How far the swapped ones' rate may lie over that of the others.
    double max_rate_excess = 0.1;
    double max_crash_excess = 0.2;
};

} // namespace savorydock
