#include "tests/bench/experiment.hpp"

#include "tests/bench/bench_fleet.hpp"
#include "tests/bench/interactive_load.hpp"
#include "tests/bench/trainer_load.hpp"

#include <algorithm>
#include <numeric>

namespace savorydock::bench {

namespace {

constexpr engine_options plain_engine{.slots = 8,
                                      .tokens_per_second = 1'000,
                                      .batch_slowdown = 0.1,
                                      .cached_prefixes = 1,
                                      .prefill_tokens = 0};

constexpr interactive_options prompt_calls{.service_tokens = 40,
                                           .timeout = bench_seconds(30)};
constexpr interactive_options plain_calls{.service_tokens = 30,
                                          .timeout = bench_seconds(5)};

/// The simulated instances of a deployment that serve one service.
class instance_group {
public:
    instance_group(event_loop& loop, const deployment& size,
                   const bench_policy& policy, service_document document,
                   const bench_fleet& fleet, std::uint64_t seed)
        : document_(
              std::make_shared<const service_document>(std::move(document))) {
        for (std::uint32_t number = 0; number < instance_count; ++number) {
            instances_.push_back(std::make_unique<bench_instance>(
                bench_instance::setting{.loop = loop,
                                        .size = size,
                                        .policy = policy,
                                        .document = document_,
                                        .engines = fleet.engines(),
                                        .number = number,
                                        .seed = seed}));
        }
    }

    [[nodiscard]] std::vector<bench_instance*> all() const {
        std::vector<bench_instance*> list;
        for (const auto& entry : instances_) {
            list.push_back(entry.get());
        }
        return list;
    }

private:
    std::shared_ptr<const service_document> document_;
    std::vector<std::unique_ptr<bench_instance>> instances_;
};

double quantile(std::vector<double> values, double part) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank =
        static_cast<std::size_t>(part * static_cast<double>(values.size()));
    return values[std::min(rank, values.size() - 1)];
}

void add_trainers(experiment_figures& total,
                  const std::vector<std::unique_ptr<trainer_load>>& trainers) {
    std::vector<double> idle;
    std::uint64_t staleness = 0;
    for (const auto& trainer : trainers) {
        const trainer_figures& own = trainer->figures();
        idle.insert(idle.end(), own.idle_seconds.begin(),
                    own.idle_seconds.end());
        total.samples += own.handed_over;
        total.discarded_too_old += own.discarded_too_old;
        total.wasted_tokens += own.wasted_tokens;
        total.cancelled_early += own.cancelled_early;
        total.moved += own.moved;
        total.hedged += own.hedged;
        total.lost_runs += own.lost;
        total.max_staleness = std::max(total.max_staleness, own.max_staleness);
        staleness += own.staleness_sum;
    }
    total.steps = idle.size();
    if (!idle.empty()) {
        total.idle_seconds = std::accumulate(idle.begin(), idle.end(), 0.0) /
                             static_cast<double>(idle.size());
    }
    total.idle_p90_seconds = quantile(idle, 0.9);
    if (total.samples > 0) {
        total.mean_staleness =
            static_cast<double>(staleness) / static_cast<double>(total.samples);
    }
}

} // namespace

experiment_figures run_experiment(const deployment& size,
                                  const bench_policy& policy,
                                  const bench_load& load, std::uint64_t seed) {
    event_loop loop;
    bench_fleet models(loop, size.model_upstreams, {}, seed);
    bench_fleet plains(loop, size.plain_upstreams, plain_engine, seed + 1);
    instance_group model_group(loop, size, policy,
                               make_model_document(size, policy), models, seed);
    instance_group plain_group(loop, size, policy,
                               make_plain_document(size, policy), plains, seed);
    models.report_to(model_group.all());
    plains.report_to(plain_group.all());
    models.plan_faults(load);

    std::vector<std::unique_ptr<trainer_load>> trainers;
    for (std::uint32_t number = 0; number < load.trainers; ++number) {
        // Each trainer uses another instance, in another zone.
        bench_instance& entry = *model_group.all()[number * 2 % instance_count];
        trainers.push_back(std::make_unique<trainer_load>(
            loop, entry, load, policy, number, seed));
    }
    models.plan_weights(load, [&](weight_version version) {
        for (const auto& trainer : trainers) {
            trainer->on_new_weights(version);
        }
    });
    interactive_load prompts(loop, model_group.all(), prompt_calls,
                             size.client_delay, seed + 2);
    interactive_load plain(loop, plain_group.all(), plain_calls,
                           size.client_delay, seed + 3);
    prompts.begin(load.prompt_rate, load.surge, load);
    plain.begin(load.plain_rate, 1, load);
    for (const auto& trainer : trainers) {
        trainer->begin_step();
    }
    loop.run_until(
        loop.now() +
        std::chrono::duration_cast<steady_time::duration>(load.length));

    experiment_figures total;
    add_trainers(total, trainers);
    total.prompt_p99_seconds = quantile(prompts.latencies(), 0.99);
    total.plain_p99_milliseconds = quantile(plain.latencies(), 0.99) * 1'000;
    total.interactive_calls = prompts.calls() + plain.calls();
    total.interactive_refused = prompts.refused() + plain.refused();
    total.interactive_failed = prompts.failed() + plain.failed();
    total.interactive_late = prompts.late() + plain.late();
    total.recovery_seconds = prompts.recovery_seconds();
    std::uint64_t calls = 0;
    std::uint64_t sends = 0;
    for (const bench_instance* const entry : model_group.all()) {
        calls += entry->calls();
        sends += entry->sends();
    }
    total.sends_per_call =
        static_cast<double>(sends) / static_cast<double>(calls);
    return total;
}

} // namespace savorydock::bench
