#include "tests/bench/bench_fleet.hpp"

#include <utility>

namespace savorydock::bench {

namespace {

constexpr bench_seconds report_period{1};
constexpr bench_seconds least_report_lag{0.5};
constexpr bench_seconds report_lag_spread{1};
constexpr bench_seconds least_event_lag{1};
constexpr bench_seconds event_lag_spread{4};
constexpr double lost_event_fraction = 0.2;

/// Time until the control plane suspects an upstream that is down.
constexpr bench_seconds suspicion_delay{3};

/// Delay of conditions that the control plane sets itself, which is shorter
/// than that of reports.
constexpr bench_seconds notice_lag{0.3};

constexpr double weights_jitter = 0.2;
constexpr std::uint32_t crashing_engine = 4;
constexpr std::uint32_t slow_engine = 1;
constexpr std::uint32_t failing_engine = 2;
constexpr weight_version failing_version = 4;

} // namespace

bench_fleet::bench_fleet(event_loop& loop, std::uint32_t count,
                         const engine_options& options, std::uint64_t seed)
    : loop_(loop)
    , random_(seed) {
    for (std::uint32_t engine_index = 0; engine_index < count; ++engine_index) {
        engines_.push_back(std::make_unique<batch_engine>(loop, options));
    }
}

std::vector<batch_engine*> bench_fleet::engines() const {
    std::vector<batch_engine*> list;
    for (const auto& engine : engines_) {
        list.push_back(engine.get());
    }
    return list;
}

void bench_fleet::report_to(std::vector<bench_instance*> instances) {
    instances_ = std::move(instances);
    for (std::uint32_t engine_index = 0; engine_index < engines_.size();
         ++engine_index) {
        loop_.after(report_period * unit(), [this, engine_index] {
            report(engine_index);
            loop_.every(report_period,
                        [this, engine_index] { report(engine_index); });
        });
        engines_[engine_index]->on_cached =
            [this, engine_index](std::uint64_t prefix) {
                if (unit() < lost_event_fraction) {
                    return;
                }
                const bench_seconds lag =
                    least_event_lag + event_lag_spread * unit();
                loop_.after(lag, [this, engine_index, prefix] {
                    for (bench_instance* const entry : instances_) {
                        entry->on_prefix_cached(engine_index, prefix);
                    }
                });
            };
    }
}

void bench_fleet::report(std::uint32_t engine) {
    const batch_engine& source = *engines_[engine];
    upstream_state state{.version = source.version(),
                         .reported_load = source.load(),
                         .reported_at = loop_.now()};
    bench_seconds extra{0};
    if (source.is_down()) {
        state.condition = upstream_condition::suspected;
        extra = suspicion_delay;
    } else if (source.is_swapping() || announced_swaps_.contains(engine)) {
        state.condition = upstream_condition::swapping;
    }
    for (bench_instance* const entry : instances_) {
        const bench_seconds lag =
            least_report_lag + report_lag_spread * unit() + extra;
        loop_.after(lag, [=] { entry->on_report(engine, state); });
    }
}

void bench_fleet::plan_faults(const bench_load& load) {
    loop_.after(load.crash_at, [this] { engines_[crashing_engine]->crash(); });
    loop_.after(load.crash_at + load.crash_length, [this] {
        engines_[crashing_engine]->restart();
        engines_[crashing_engine]->end_swap(newest_);
    });
    loop_.after(load.slow_from, [this, speed = load.slow_speed] {
        engines_[slow_engine]->set_speed(speed);
    });
    loop_.after(load.slow_until,
                [this] { engines_[slow_engine]->set_speed(1); });
}

void bench_fleet::plan_weights(const bench_load& load,
                               std::function<void(weight_version)> announce) {
    bench_seconds due{0};
    for (weight_version version = 2;; ++version) {
        due += load.weights_interval * (1 + weights_jitter * (2 * unit() - 1));
        if (due >= load.length) {
            return;
        }
        loop_.after(due, [=, this] {
            newest_ = version;
            announce(version);
            for (std::uint32_t engine = 0; engine < engines_.size(); ++engine) {
                // Swaps in two waves, so that half of the engines stay in
                // service.
                const bench_seconds wave =
                    (load.swap + load.swap_notice) * (engine % 2);
                const bool will_fail =
                    version == failing_version && engine == failing_engine;
                loop_.after(wave, [=, this] {
                    swap(engine, version, load, will_fail);
                });
            }
        });
    }
}

void bench_fleet::swap(std::uint32_t engine, weight_version version,
                       const bench_load& load, bool will_fail) {
    batch_engine& target = *engines_[engine];
    if (target.is_down()) {
        return;
    }
    if (load.swap_notice.count() > 0) {
        upstream_state noticed{.condition = upstream_condition::swapping,
                               .version = target.version(),
                               .reported_load = target.load(),
                               .reported_at = loop_.now()};
        announced_swaps_.insert(engine);
        for (bench_instance* const entry : instances_) {
            loop_.after(notice_lag, [=] { entry->on_report(engine, noticed); });
        }
    }
    loop_.after(load.swap_notice, [=, this] {
        announced_swaps_.erase(engine);
        order_swap(engine, version, load, will_fail);
    });
}

void bench_fleet::order_swap(std::uint32_t engine, weight_version version,
                             const bench_load& load, bool will_fail) {
    batch_engine& target = *engines_[engine];
    if (target.is_down()) {
        return;
    }
    target.begin_swap();
    loop_.after(load.swap, [=, this, &target] {
        if (target.is_down()) {
            return;
        }
        target.end_swap(will_fail ? target.version() : version);
        if (will_fail) {
            loop_.after(load.failed_swap_retry,
                        [=, this] { swap(engine, version, load, false); });
        }
    });
}

} // namespace savorydock::bench
