#pragma once

#include "servers/routing/routing_policy.hpp"

#include <atomic>
#include <chrono>
#include <optional>
#include <span>

namespace savorydock {

/// Parameters of the adaptive policy. Loads are given as fractions of an
/// upstream's slots.
struct adaptive_options {
    /// Eligible upstreams sampled at random from each pool for one decision.
    std::uint32_t choices = 2;
    /// The weight of a load report halves in this time; the mean of all reports
    /// makes up the rest.
    std::chrono::milliseconds report_half_life{2000};
    /// When the best candidate in the home zone has at least this load, other
    /// zones are considered as well.
    double overflow_load = 0.5;
    /// Cost of a call to another zone, in units of load.
    double cross_zone_cost = 0.05;
    /// Bonus for a cached prompt prefix, in units of load.
    double affinity_gain = 0.2;
    /// Requests that are not interactive are refused when the chosen upstream
    /// has at least this load.
    double batch_load_limit = 2;
    /// Interactive requests are refused when the chosen upstream has at least
    /// this load.
    double interactive_load_limit = 4;
};

/// The default policy. Samples a few candidates at random, from the home zone
/// first, and takes the one with the least estimated load: this instance's
/// exact in-flight count plus the load by other instances, which is known from
/// delayed reports. Upstreams that probably hold the prompt's prefix in their
/// cache get a bonus. The cost of a decision doesn't grow with the number of
/// upstreams, unless sampling finds no eligible one.
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

    void sample_pool(search& state, std::span<const std::uint32_t> pool) const;
    void consider_preferred(search& state) const;
    [[nodiscard]] bool is_eligible(const search& state,
                                   std::uint32_t position) const;
    void consider_candidate(search& state, std::uint32_t position,
                            double bonus) const;
    [[nodiscard]] double estimated_load(const search& state,
                                        std::uint32_t position) const;
    [[nodiscard]] bool is_overflow_allowed(const search& state) const;

    adaptive_options options_;
    std::uint64_t seed_;
    std::atomic<std::uint64_t> sequence_ = 0;
};

} // namespace savorydock
