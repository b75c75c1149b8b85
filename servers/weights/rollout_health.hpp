#pragma once

#include "servers/control_server.hpp"
#include "servers/weights/rollout_goal.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>

namespace savorydock {

/// Compares the upstreams that a roll-out swapped with those it has yet to
/// swap. Not thread safe: control thread only.
class rollout_health {
public:
    explicit rollout_health(const rollout_options& options)
        : options_(options) {}

    /// Forgets everything: a new version is rolled out.
    void clear() { records_.clear(); }

    void swap_done(const upstream_id& upstream, steady_time now);
    void swap_failed(const upstream_id& upstream);
    /// What traffic saw. Precondition, here and below: no order to the
    /// upstream is in flight, for it is out while it swaps.
    void observe(const upstream_id& upstream, upstream_evidence evidence,
                 steady_time now);
    void observe_condition(const upstream_id& upstream,
                           upstream_condition condition, steady_time now);
    /// The upstream reads back an old version. Returns true once for each
    /// swap that it has undone, as a crash does.
    [[nodiscard]] bool observe_old_version(const upstream_id& upstream);

    /// Why the roll-out over `total` upstreams must stop; empty if it need
    /// not.
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
    /// The sums over one of the two groups.
    struct group {
        std::uint32_t upstreams = 0;
        std::uint32_t crashed = 0;
        std::uint64_t answered = 0;
        std::uint64_t failed = 0;

        [[nodiscard]] double crash_rate() const;
        [[nodiscard]] double error_rate() const;
    };

    /// Whether a failure may be blamed on the version now loaded.
    [[nodiscard]] bool is_settled(const record& seen, steady_time now) const;

    rollout_options options_;
    std::unordered_map<upstream_id, record> records_;
};

} // namespace savorydock
