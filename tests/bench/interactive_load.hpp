#pragma once

#include "core/random_source.hpp"
#include "tests/bench/bench_settings.hpp"
#include "tests/bench/decider.hpp"

#include <cstdint>
#include <vector>

namespace savorydock::bench {

struct interactive_options {
    std::uint32_t service_tokens = 40;
    bench_seconds patience{30};
};

/// Interactive callers: independent arrivals, each at an instance by chance.
class interactive_load {
public:
    interactive_load(event_loop& loop, std::vector<decider*> entries,
                     const interactive_options& options,
                     bench_seconds client_delay, std::uint64_t seed)
        : loop_(loop)
        , entries_(std::move(entries))
        , options_(options)
        , client_delay_(client_delay)
        , random_(seed) {}

    /// Sends `rate` calls a second, `surge` times as many in the middle third.
    void begin(double rate, double surge, const bench_load& load);

    /// Seconds from call to answer, as the caller sees them.
    [[nodiscard]] const std::vector<double>& latencies() const {
        return latencies_;
    }
    /// Answers that came after the caller's patience.
    [[nodiscard]] std::uint64_t late() const { return late_; }

    /// Seconds from the end of the surge until the median latency of 30 s is
    /// again below twice that of before.
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
    std::vector<decider*> entries_;
    interactive_options options_;
    bench_seconds client_delay_;
    seeded_random_source random_;
    double rate_ = 0;
    double surge_ = 1;
    steady_time surge_from_{};
    steady_time surge_until_{};
    std::vector<double> latencies_;
    /// When the calls of `latencies_` began.
    std::vector<steady_time> begins_;
    std::uint64_t late_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t failed_ = 0;
};

} // namespace savorydock::bench
