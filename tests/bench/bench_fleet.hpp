#pragma once

#include "core/random_source.hpp"
#include "tests/bench/batch_engine.hpp"
#include "tests/bench/bench_instance.hpp"
#include "tests/bench/bench_settings.hpp"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace savorydock::bench {

/// The simulated engines of one service and their faults: delayed load reports,
/// delayed or lost cache events, weight swaps in two waves, a failed swap, a
/// crash and a slow engine.
class bench_fleet {
public:
    bench_fleet(event_loop& loop, std::uint32_t count,
                const engine_options& options, std::uint64_t seed);

    [[nodiscard]] std::vector<batch_engine*> engines() const;

    /// Starts sending load reports and cache events to the instances.
    void report_to(std::vector<bench_instance*> instances);

    /// Schedules the faults and the weight updates. `announce` is called with
    /// each new version.
    void plan_faults(const bench_load& load);
    void plan_weights(const bench_load& load,
                      std::function<void(weight_version)> announce);

private:
    void report(std::uint32_t engine);
    void swap(std::uint32_t engine, weight_version version,
              const bench_load& load, bool will_fail);
    void order_swap(std::uint32_t engine, weight_version version,
                    const bench_load& load, bool will_fail);
    [[nodiscard]] double unit() {
        return static_cast<double>(random_.below(1U << 20U)) / (1U << 20U);
    }

    event_loop& loop_;
    std::vector<std::unique_ptr<batch_engine>> engines_;
    std::vector<bench_instance*> instances_;
    weight_version newest_ = 1;
    /// Engines whose swap has been announced but not ordered yet.
    std::set<std::uint32_t> announced_swaps_;
    seeded_random_source random_;
};

} // namespace savorydock::bench
