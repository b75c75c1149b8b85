// Measures how the cost of distributing configuration grows with the number of
// instances, in virtual time. Counters: seconds from a publish until it is in
// force on all instances (median and maximum), control traffic per instance in
// bytes per second sent and received, platform calls per second of all
// instances together, and CPU per instance as a share of one core (includes the
// time of the simulation itself).
#include "tests/servers/configuration/configuration_fleet.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <malloc.h>
#include <optional>

namespace savorydock {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t services = 20;
/// Documents of about 8 KB.
constexpr std::size_t upstreams_each = 120;
constexpr int publishes = 40;
/// Corresponds to 33,000 changes per day.
constexpr std::chrono::milliseconds publish_interval{2'618};
constexpr std::size_t small_fleet_zones = 4;
constexpr std::size_t large_fleet_zones = 15;
constexpr std::size_t large_fleet = 100;

service_name service_at(std::size_t i) {
    return service_name("service" + std::to_string(i));
}

double seconds(steady_time::duration time) {
    return std::chrono::duration<double>(time).count();
}

// Bytes currently allocated, including those of the simulation itself.
double heap_bytes() {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

struct traffic_sum {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t messages = 0;
    /// Received by the instance that received most, which is a watcher.
    std::uint64_t received_most = 0;
};

traffic_sum traffic_of(const configuration_fleet& fleet) {
    traffic_sum sum;
    for (const auto& instance : fleet.members) {
        const auto counters = instance->server->counters();
        sum.sent += counters.peer_bytes_sent;
        const std::uint64_t received =
            counters.peer_bytes_received + counters.platform_bytes_received;
        sum.received += received;
        sum.received_most = std::max(sum.received_most, received);
        sum.messages += counters.peer_messages_sent;
    }
    return sum;
}

/// Publishes one change and returns the seconds until it is in force on all
/// instances.
double publish_one(configuration_fleet& fleet, int number, int mark) {
    const service_name service =
        service_at(static_cast<std::size_t>(number) % services);
    const steady_time begun = fleet.now;
    std::optional<store_revision> revision;
    fleet.publish(
        service, document_text(service.text(), mark, upstreams_each),
        "p" + std::to_string(mark),
        [&](const publish_result& result) { revision = result.revision; });
    const bool is_done = fleet.run_until(
        [&] {
            return revision &&
                   fleet.count_at(service, *revision) == fleet.members.size();
        },
        60s);
    return is_done ? seconds(fleet.now - begun) : 1e9;
}

void spread(benchmark::State& state) {
    const auto size = static_cast<std::size_t>(state.range(0));
    const std::chrono::milliseconds call_time(state.range(1));
    const std::size_t zones =
        size < large_fleet ? small_fleet_zones : large_fleet_zones;
    for (auto _ : state) {
        const double before = heap_bytes();
        configuration_fleet fleet(size, zones, 11);
        fleet.platform_call_outcome_of = [&](const platform_request&) {
            return platform_call_outcome{.delay = call_time};
        };
        for (std::size_t i = 0; i < services; ++i) {
            fleet.platform.put(
                key_of(service_at(i)),
                to_stored_text({.publish_id = "first",
                                .operator_name = "operator",
                                .text = document_text(service_at(i).text(), 0,
                                                      upstreams_each)}));
        }
        fleet.start_all();
        fleet.run_for(30s);
        const traffic_sum idle = traffic_of(fleet);
        const std::uint64_t calls = fleet.platform_calls;
        const steady_time begun = fleet.now;
        const std::clock_t cpu = std::clock();
        std::vector<double> times;
        for (int i = 0; i < publishes; ++i) {
            const steady_time next = fleet.now + publish_interval;
            times.push_back(publish_one(fleet, i, i + 1));
            if (fleet.now < next) {
                fleet.run_for(
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        next - fleet.now));
            }
        }
        const double used = static_cast<double>(std::clock() - cpu) /
                            static_cast<double>(CLOCKS_PER_SEC);
        const double span = seconds(fleet.now - begun);
        const auto count = static_cast<double>(size);
        const traffic_sum busy = traffic_of(fleet);
        std::sort(times.begin(), times.end());
        state.counters["in_force_p50_s"] = times[times.size() / 2];
        state.counters["in_force_max_s"] = times.back();
        state.counters["sent_B_s"] =
            static_cast<double>(busy.sent - idle.sent) / span / count;
        state.counters["received_B_s"] =
            static_cast<double>(busy.received - idle.received) / span / count;
        state.counters["received_most_B_s"] =
            static_cast<double>(busy.received_most - idle.received_most) / span;
        state.counters["messages_s"] =
            static_cast<double>(busy.messages - idle.messages) / span / count;
        state.counters["platform_calls_s"] =
            static_cast<double>(fleet.platform_calls - calls) / span;
        state.counters["cpu_percent"] = 100 * used / span / count;
        state.counters["memory_KB"] = (heap_bytes() - before) / 1024 / count;
        state.counters["times_back"] = fleet.regressions();
    }
}

BENCHMARK(spread)
    ->ArgNames({"instances", "call_ms"})
    ->ArgsProduct({{9, 27, 81, 243, 729, 1900}, {5, 1000}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace savorydock

BENCHMARK_MAIN();
