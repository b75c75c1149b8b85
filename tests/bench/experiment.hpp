#pragma once

#include "tests/bench/bench_settings.hpp"

#include <cstdint>

namespace savorydock::bench {

/// Results of one run of one policy.
struct experiment_figures {
    /// Mean time that a trainer was idle until its next step was complete.
    double idle_seconds = 0;
    double idle_p90_seconds = 0;
    std::uint64_t steps = 0;
    std::uint64_t samples = 0;
    std::uint64_t discarded_too_old = 0;
    /// Largest staleness of a delivered sample, in weight versions.
    std::uint64_t max_staleness = 0;
    std::uint64_t cancelled_early = 0;
    std::uint64_t wasted_tokens = 0;
    std::uint64_t moved = 0;
    std::uint64_t hedged = 0;
    std::uint64_t lost_runs = 0;
    double mean_staleness = 0;
    double prompt_p99_seconds = 0;
    double plain_p99_milliseconds = 0;
    std::uint64_t interactive_calls = 0;
    std::uint64_t interactive_refused = 0;
    std::uint64_t interactive_failed = 0;
    std::uint64_t interactive_late = 0;
    double recovery_seconds = 0;
    /// Requests sent to model engines per submitted call.
    double sends_per_call = 0;
};

/// Runs one policy on one deployment in virtual time. With the same seed, all
/// policies get the same load and the same faults.
[[nodiscard]] experiment_figures run_experiment(const deployment& size,
                                                const bench_policy& policy,
                                                const bench_load& load,
                                                std::uint64_t seed);

} // namespace savorydock::bench
