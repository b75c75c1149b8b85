#include "servers/admission/synchronized_admission_queue.hpp"
#include "tests/servers/counting_new.hpp"

#include <benchmark/benchmark.h>

#include <array>
#include <string>

namespace savorydock {

namespace {

constexpr std::uint32_t caller_count = 25;

/// Measures one submit and one release while `state.range(0)` requests wait.
void measure_admission(benchmark::State& state) {
    const auto waiting = static_cast<std::uint64_t>(state.range(0));
    const std::array classes{
        class_rule{.name = class_name("batch"), .queue_length = 1'000'000}};
    std::vector<caller_id> callers;
    for (std::uint32_t at = 0; at < caller_count; ++at) {
        callers.emplace_back("trainer" + std::to_string(at));
    }
    synchronized_admission_queue admission(admission_queue({}, classes, {}));
    const steady_time now{std::chrono::hours(1)};
    std::uint64_t ticket = 0;
    const auto submit = [&] {
        ++ticket;
        benchmark::DoNotOptimize(
            admission.submit({.ticket = ticket,
                              .class_of_service = classes[0].name,
                              .caller = callers[ticket % caller_count],
                              .deadline = now + std::chrono::hours(1)},
                             now));
    };
    while (ticket < waiting) {
        submit();
    }
    std::uint64_t running = 1;
    const std::uint64_t before = allocation_count.load();
    for (auto step : state) {
        static_cast<void>(step);
        submit();
        const auto change = admission.release(running, now);
        running = change.granted.empty() ? running + 1 : change.granted[0];
    }
    state.counters["allocations"] =
        static_cast<double>(allocation_count.load() - before) /
        static_cast<double>(state.iterations());
}

} // namespace

BENCHMARK(measure_admission)->Arg(100)->Arg(10'000);

} // namespace savorydock

BENCHMARK_MAIN();
