/// Compares routing, admission and scheduling policies on the same load in
/// virtual time. Prints one JSON line per run, then a table.

#include "tests/bench/experiment.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

DEFINE_uint32(seeds, 5, "number of runs of each policy, with seeds 1, 2, ...");
DEFINE_uint32(minutes, 30, "length of each run in virtual minutes");
DEFINE_double(surge, 1, "factor on the interactive load in the middle third");
DEFINE_uint32(bound, 1, "weight versions that a delivered sample may lag");
DEFINE_double(swap_notice, 0, "seconds from a swap's notice to its order");
DEFINE_string(only, "", "measure only policies whose names start with this");

namespace savorydock::bench {

namespace {

void print_line(const std::string& size, const std::string& policy,
                std::uint64_t seed, const experiment_figures& figures) {
    const nlohmann::json line{
        {"deployment", size},
        {"policy", policy},
        {"seed", seed},
        {"idle_seconds", figures.idle_seconds},
        {"idle_p90_seconds", figures.idle_p90_seconds},
        {"steps", figures.steps},
        {"samples", figures.samples},
        {"discarded_too_old", figures.discarded_too_old},
        {"max_staleness", figures.max_staleness},
        {"mean_staleness", figures.mean_staleness},
        {"cancelled_early", figures.cancelled_early},
        {"wasted_tokens", figures.wasted_tokens},
        {"moved", figures.moved},
        {"hedged", figures.hedged},
        {"lost_runs", figures.lost_runs},
        {"prompt_p99_seconds", figures.prompt_p99_seconds},
        {"plain_p99_milliseconds", figures.plain_p99_milliseconds},
        {"interactive_calls", figures.interactive_calls},
        {"interactive_refused", figures.interactive_refused},
        {"interactive_failed", figures.interactive_failed},
        {"interactive_late", figures.interactive_late},
        {"recovery_seconds", figures.recovery_seconds},
        {"sends_per_call", figures.sends_per_call}};
    std::printf("%s\n", line.dump().c_str());
    std::fflush(stdout);
}

/// "minimum/median/maximum" of one figure over the seeds.
template <class Read>
std::string format_range(const std::vector<experiment_figures>& runs,
                         Read read) {
    std::vector<double> values;
    values.reserve(runs.size());
    for (const experiment_figures& run : runs) {
        values.push_back(static_cast<double>(read(run)));
    }
    std::sort(values.begin(), values.end());
    char text[64];
    std::snprintf(text, sizeof text, "%.4g/%.4g/%.4g", values.front(),
                  values[values.size() / 2], values.back());
    return text;
}

void print_table(
    const std::string& size,
    const std::vector<std::pair<std::string, std::vector<experiment_figures>>>&
        rows) {
    std::printf("\n%s (minimum/median/maximum of %u seeds)\n", size.c_str(),
                FLAGS_seeds);
    std::printf("%-19s %-18s %-15s %-15s %-18s %-18s %-18s %-18s %-14s %-12s "
                "%-14s %s\n",
                "policy", "idle s/step", "steps", "too old", "staleness",
                "prompt p99 s", "plain p99 ms", "wasted tokens", "ref+fail",
                "late", "recovery s", "sends/call");
    for (const auto& [policy, runs] : rows) {
        using figures = experiment_figures;
        const auto cell = [&runs = runs](auto read) {
            return format_range(runs, read);
        };
        std::printf(
            "%-19s %-18s %-15s %-15s %-18s %-18s %-18s %-20s %-14s %-12s %-14s "
            "%s\n",
            policy.c_str(),
            cell([](const figures& f) { return f.idle_seconds; }).c_str(),
            cell([](const figures& f) { return f.steps; }).c_str(),
            cell([](const figures& f) { return f.discarded_too_old; }).c_str(),
            cell([](const figures& f) { return f.mean_staleness; }).c_str(),
            cell([](const figures& f) { return f.prompt_p99_seconds; }).c_str(),
            cell([](const figures& f) {
                return f.plain_p99_milliseconds;
            }).c_str(),
            cell([](const figures& f) { return f.wasted_tokens; }).c_str(),
            cell([](const figures& f) {
                return f.interactive_refused + f.interactive_failed;
            }).c_str(),
            cell([](const figures& f) { return f.interactive_late; }).c_str(),
            cell([](const figures& f) { return f.recovery_seconds; }).c_str(),
            cell([](const figures& f) { return f.sends_per_call; }).c_str());
    }
}

void measure(const deployment& size) {
    std::vector<std::pair<std::string, std::vector<experiment_figures>>> rows;
    const bench_load load{.length = std::chrono::minutes(FLAGS_minutes),
                          .staleness_bound = FLAGS_bound,
                          .swap_notice = bench_seconds(FLAGS_swap_notice),
                          .surge = FLAGS_surge};
    for (const bench_policy& policy : all_policies()) {
        if (!policy.name.starts_with(FLAGS_only)) {
            continue;
        }
        rows.emplace_back(policy.name, std::vector<experiment_figures>{});
        for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
            const auto figures = run_experiment(size, policy, load, seed);
            print_line(size.name, policy.name, seed, figures);
            rows.back().second.push_back(figures);
        }
    }
    print_table(size.name, rows);
}

} // namespace

} // namespace savorydock::bench

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_seeds = std::max(1U, FLAGS_seeds);
    for (const auto& size : savorydock::bench::all_deployments()) {
        savorydock::bench::measure(size);
    }
    return 0;
}
