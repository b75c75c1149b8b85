#include "servers/weights/rollout_planner.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <vector>

namespace savorydock {

namespace {

using std::chrono::milliseconds;

constexpr double percent = 100;

std::vector<rollout_upstream> make_upstreams(std::size_t count) {
    std::vector<rollout_upstream> upstreams(count);
    for (std::size_t i = 0; i < count; ++i) {
        upstreams[i].name = upstream_id("upstream-" + std::to_string(i));
        upstreams[i].version = 1;
        upstreams[i].is_ready = true;
        // Different loads that are the same in every run.
        upstreams[i].load = static_cast<double>(i % 7) / 10;
    }
    return upstreams;
}

/// One call of `plan` in the middle of a roll-out.
void BM_plan(benchmark::State& state) {
    auto upstreams = make_upstreams(static_cast<std::size_t>(state.range(0)));
    rollout_planner planner;
    command_list out;
    planner.set_goal({.target = 2}, out);
    const steady_time now{std::chrono::hours(1)};
    for (std::size_t i = 0; i < upstreams.size(); i += 3) {
        upstreams[i].version = 2;
        planner.swap_done(upstreams[i].name, 2, now);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(planner.plan(upstreams, now, out));
    }
}
BENCHMARK(BM_plan)->Arg(9)->Arg(700)->Arg(10'000);

/// One call of `plan` after the roll-out has finished.
void BM_plan_finished(benchmark::State& state) {
    auto upstreams = make_upstreams(static_cast<std::size_t>(state.range(0)));
    rollout_planner planner;
    command_list out;
    planner.set_goal({.target = 1}, out);
    const steady_time now{std::chrono::hours(1)};
    for (auto _ : state) {
        benchmark::DoNotOptimize(planner.plan(upstreams, now, out));
    }
}
BENCHMARK(BM_plan_finished)->Arg(700)->Arg(10'000);

/// Distributes the constant load from the trainers over the upstreams in
/// service.
void spread_load(std::vector<rollout_upstream>& upstreams, double load) {
    const auto serving =
        std::count_if(upstreams.begin(), upstreams.end(),
                      [](const auto& each) { return !each.is_ordered; });
    const double all = load * static_cast<double>(upstreams.size());
    const double each_load =
        serving == 0 ? 0 : std::min(1.0, all / static_cast<double>(serving));
    for (auto& upstream : upstreams) {
        upstream.load = each_load;
    }
}

/// A complete roll-out in virtual time. Arguments: number of upstreams,
/// capacity floor and idle weight in percent, concurrent fetches (0: no limit),
/// load in percent. A swap takes 6 s and uses the weight store all that time.
void BM_rollout(benchmark::State& state) {
    constexpr milliseconds swap_time{6'000};
    constexpr milliseconds tick{250};
    const auto count = static_cast<std::size_t>(state.range(0));
    double seconds = 0;
    double lost_upstream_seconds = 0;
    for (auto _ : state) {
        auto upstreams = make_upstreams(count);
        std::vector<steady_time> done(count);
        rollout_planner planner;
        command_list out;
        planner.set_goal(
            {.target = 2,
             .capacity_floor = static_cast<double>(state.range(1)) / percent,
             .idle_weight = static_cast<double>(state.range(2)) / percent,
             .fetches_at_once = static_cast<std::uint32_t>(state.range(3))},
            out);
        const double load = static_cast<double>(state.range(4)) / percent;
        const steady_time begin{std::chrono::hours(1)};
        steady_time now = begin;
        std::size_t left = count;
        lost_upstream_seconds = 0;
        for (; left > 0; now += tick) {
            for (std::size_t i = 0; i < count; ++i) {
                if (upstreams[i].is_ordered && now >= done[i]) {
                    upstreams[i].is_ordered = false;
                    upstreams[i].version = 2;
                    planner.swap_done(upstreams[i].name, 2, now);
                    --left;
                }
            }
            spread_load(upstreams, load);
            for (const std::size_t i : planner.plan(upstreams, now, out)) {
                upstreams[i].is_ordered = true;
                done[i] = now + swap_time;
            }
            // The load for which no upstream has capacity.
            const auto out_now = static_cast<double>(std::count_if(
                upstreams.begin(), upstreams.end(),
                [](const auto& each) { return each.is_ordered; }));
            const double spare = (1 - load) * static_cast<double>(count);
            lost_upstream_seconds +=
                std::max(0.0, out_now - spare) *
                std::chrono::duration<double>(tick).count();
        }
        seconds = std::chrono::duration<double>(now - begin).count();
    }
    state.counters["virtual_s"] = seconds;
    state.counters["lost_s_per_upstream"] =
        lost_upstream_seconds / static_cast<double>(count);
}
BENCHMARK(BM_rollout)
    ->ArgNames({"upstreams", "floor", "idle", "fetches", "load"})
    ->ArgsProduct({{9}, {50, 75}, {0, 100}, {0, 2}, {70}})
    ->ArgsProduct({{10'000}, {50, 75}, {0, 100}, {0, 500, 5'000}, {70}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace savorydock

BENCHMARK_MAIN();
