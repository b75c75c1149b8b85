#pragma once

#include "core/random_source.hpp"
#include "tests/bench/batch_engine.hpp"
#include "tests/bench/bench_settings.hpp"
#include "tests/bench/decider.hpp"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace savorydock::bench {

/// The engines of one service with what happens to them: lagging reports,
/// late and gappy cache events, new weights in two waves, a failed swap, a
/// crash and a slow one.
class bench_fleet {
public:
    bench_fleet(event_loop& loop, std::uint32_t count,
                const engine_options& options, std::uint64_t seed);

    [[nodiscard]] std::vector<batch_engine*> engines() const;

    /// Sends reports and cache events to the deciders from now on.
    void report_to(std::vector<decider*> deciders);

    /// Plans the faults and the weights; `announce` gets each new version.
    void plan_faults(const bench_load& load);
    void plan_weights(const bench_load& load,
                      std::function<void(weight_version)> announce);

private:
    void report(std::uint32_t engine);
    void swap(std::uint32_t engine, weight_version version,
              const bench_load& load, bool does_fail);
    void order_swap(std::uint32_t engine, weight_version version,
                    const bench_load& load, bool does_fail);
    [[nodiscard]] double unit() {
        return static_cast<double>(random_.below(1U << 20U)) / (1U << 20U);
    }

    event_loop& loop_;
    std::vector<std::unique_ptr<batch_engine>> engines_;
    std::vector<decider*> deciders_;
    weight_version newest_ = 1;
    /// Engines that are to swap soon.
    std::set<std::uint32_t> noticed_;
    seeded_random_source random_;
};

} // namespace savorydock::bench
