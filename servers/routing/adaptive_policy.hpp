#pragma once

#include "servers/routing/routing_policy.hpp"

#include <atomic>
#include <chrono>
#include <optional>
#include <span>

namespace savorydock {

/// What moves the adaptive policy. Loads are fractions of an upstream's slots.
struct adaptive_options {
    /// Upstreams drawn at random for one decision.
    std::uint32_t choices = 2;
    /// After this time a load report counts half; the rest is filled up with
    /// the mean of all reports.
    std::chrono::milliseconds report_half_life{2000};
    /// Load at home from which other zones are looked at.
    double overflow_load = 0.5;
    /// Load that the way to another zone counts for.
    double cross_zone_cost = 0.05;
    /// Load that a cached prompt prefix outweighs.
    double affinity_gain = 0.2;
    /// Load from which batch work is refused.
    double batch_load_limit = 2;
    /// Load from which interactive work is refused.
    double interactive_load_limit = 4;
};

/// The product's policy: a few random candidates, compared by own exact
/// in-flight count plus the lagging report of the others' load, home zone
/// first, with a preference for upstreams that hold the prompt's prefix.
/// Looks at a few upstreams only, whatever their number.
class adaptive_policy final : public routing_policy {
public:
    adaptive_policy(adaptive_options options, std::uint64_t seed)
        : options_(options)
        , seed_(seed) {}

    [[nodiscard]] outcome<route_choice> choose(const routed_service& service,
                                               const route_query& query,
                                               steady_time now) override;

private:
    struct search;

    void draw(search& state, std::span<const std::uint32_t> pool) const;
    void consider_preferred(search& state) const;
    [[nodiscard]] bool admits(const search& state,
                              std::uint32_t position) const;
    void consider(search& state, std::uint32_t position, double bonus) const;
    [[nodiscard]] double load_of(const search& state,
                                 std::uint32_t position) const;
    [[nodiscard]] bool is_away_allowed(const search& state) const;

    adaptive_options options_;
    std::uint64_t seed_;
    std::atomic<std::uint64_t> sequence_ = 0;
};

} // namespace savorydock
