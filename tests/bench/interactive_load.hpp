#pragma once

#include "core/random_source.hpp"
#include "tests/bench/bench_instance.hpp"
#include "tests/bench/bench_settings.hpp"

#include <cstdint>
#include <vector>

namespace savorydock::bench {

struct interactive_options {
    std::uint32_t service_tokens = 40;
    bench_seconds timeout{30};
};

/// Simulates interactive callers. Calls arrive independently of each other and
/// go to a random instance.
class interactive_load {
public:
    interactive_load(event_loop& loop, std::vector<bench_instance*> entries,
                     const interactive_options& options,
                     bench_seconds client_delay, std::uint64_t seed)
        : loop_(loop)
        , entries_(std::move(entries))
        , options_(options)
        , client_delay_(client_delay)
        , random_(seed) {}

    /// Starts sending `rate` calls per second, times `surge` in the middle
    /// third of the run.
    void begin(double rate, double surge, const bench_load& load);

    /// Latencies as seen by the callers, in seconds.
    [[nodiscard]] const std::vector<double>& latencies() const {
        return latencies_;
    }
    /// Number of answers that arrived after the caller's timeout.
    [[nodiscard]] std::uint64_t late() const { return late_; }

    /// Seconds from the end of the surge until the median latency over 30 s is
    /// at most twice the median from before the surge.
    [[nodiscard]] double recovery_seconds() const;

    [[nodiscard]] std::uint64_t calls() const { return calls_; }
    [[nodiscard]] std::uint64_t refused() const { return refused_; }
    [[nodiscard]] std::uint64_t failed() const { return failed_; }

private:
    [[nodiscard]] double median_between(steady_time from,
                                        steady_time until) const;
    void plan_next();
    void call();

    event_loop& loop_;
    std::vector<bench_instance*> entries_;
    interactive_options options_;
    bench_seconds client_delay_;
    seeded_random_source random_;
    double rate_ = 0;
    double surge_ = 1;
    steady_time surge_from_{};
    steady_time surge_until_{};
    std::vector<double> latencies_;
    /// Start times of the calls in `latencies_`.
    std::vector<steady_time> begins_;
    std::uint64_t late_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t failed_ = 0;
};

} // namespace savorydock::bench
