#include "tests/servers/counting_new.hpp"
#include "tests/servers/routing/routing_fixture.hpp"

#include <benchmark/benchmark.h>

namespace savorydock {

namespace {

/// Measures one pick, begin and finish, and reports the allocations per
/// decision.
void measure_decisions(benchmark::State& state, routing_policy_kind kind) {
    const auto upstreams = static_cast<std::uint32_t>(state.range(0));
    routing_fixture fixture(upstreams, kind);
    snapshot_router router(availability_zone("z0"), 1);
    fixture.publish(router);
    const steady_time now{std::chrono::hours(1)};
    const route_query base = fixture.query();
    const service_name& service = base.service.document->service;
    std::uint64_t prefix = 0;
    const std::uint64_t before = allocation_count.load();
    for (auto step : state) {
        static_cast<void>(step);
        const route_query query{.service = base.service,
                                .class_of_service = base.class_of_service,
                                .prefix_hash = ++prefix % 500 + 1,
                                .minimum_version = 1};
        const auto choice = router.pick(query, now);
        router.begin(service, choice->upstream->name);
        router.finish(service, choice->upstream->name,
                      upstream_evidence::answered,
                      std::chrono::microseconds(100));
    }
    state.counters["allocations"] =
        static_cast<double>(allocation_count.load() - before) /
        static_cast<double>(state.iterations());
}

} // namespace

BENCHMARK_CAPTURE(measure_decisions, adaptive, routing_policy_kind::adaptive)
    ->Arg(700)
    ->Arg(10'000);
BENCHMARK_CAPTURE(measure_decisions, round_robin,
                  routing_policy_kind::round_robin)
    ->Arg(700)
    ->Arg(10'000);
BENCHMARK_CAPTURE(measure_decisions, least_in_flight,
                  routing_policy_kind::least_in_flight)
    ->Arg(700)
    ->Arg(10'000);

} // namespace savorydock

BENCHMARK_MAIN();
