#pragma once

#include "servers/control_server.hpp"
#include "servers/weights/rollout_goal.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>

namespace savorydock {

/// Compares the health of the upstreams that a roll-out has swapped with that
/// of the others. Not thread safe: control thread only.
class rollout_health {
public:
    explicit rollout_health(const rollout_options& options)
        : options_(options) {}

    /// Clears all records, for the roll-out of a new version.
    void clear() { records_.clear(); }

    void swap_done(const upstream_id& upstream, steady_time now);
    void swap_failed(const upstream_id& upstream);
    /// Records the evidence from a request. Precondition, here and below: no
    /// order to the upstream is in flight, because an upstream is out of
    /// service while it swaps.
    void observe(const upstream_id& upstream, upstream_evidence evidence,
                 steady_time now);
    void observe_condition(const upstream_id& upstream,
                           upstream_condition condition, steady_time now);
    /// Records that the upstream reports an old version. Returns true once per
    /// swap that it reverted, for example because it crashed and restarted.
    [[nodiscard]] bool observe_old_version(const upstream_id& upstream);

    /// Why the roll-out over `total` upstreams must stop; empty if it may
    /// continue.
    [[nodiscard]] std::string reason_to_stop(std::size_t total) const;

private:
    struct record {
        bool is_swapped = false;
        bool has_served = false;
        steady_time swapped_at{};
        bool has_crashed = false;
        bool has_reverted = false;
        bool has_failed_swap = false;
        std::uint32_t answered = 0;
        std::uint32_t failed = 0;
    };
    /// The totals of the swapped upstreams, or of the others.
    struct group {
        std::uint32_t upstreams = 0;
        std::uint32_t crashed = 0;
        std::uint64_t answered = 0;
        std::uint64_t failed = 0;

        [[nodiscard]] double crash_rate() const;
        [[nodiscard]] double error_rate() const;
    };

    /// Whether a failure now may be attributed to the loaded version, and not
    /// to the swap itself.
    [[nodiscard]] bool is_settled(const record& entry, steady_time now) const;

    rollout_options options_;
    std::unordered_map<upstream_id, record> records_;
};

} // namespace savorydock
