#pragma once

#include "servers/fleet/upstream_pool.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace savorydock {

/// The load on a fleet and the faults of its upstreams, in virtual time.
struct simulated_load {
    std::size_t upstreams = 17;
    std::size_t instances = 70;
    std::size_t busy_instances = 12;
    /// Part of the upstreams' usual capacity that the calls take.
    double utilisation = 0.55;
    /// Part of the work that large calls make up.
    double large_work = 0.6;
    /// Large calls that a busy instance sends at once.
    std::size_t burst = 8;
    /// Part of the small calls that the busy instances send.
    double busy_small = 0.5;
    double tail_share = 0.01;
    /// Speed of the upstreams of each zone.
    std::vector<double> zone_speeds{1, 1, 1, 1};
    /// Slow phases of single upstreams per second, of 3 to 8 s.
    double slow_phases = 0;
    /// A burst of small calls from all instances lasts one second of five.
    double surge = 1;
    std::chrono::milliseconds small_time{25};
    std::chrono::milliseconds large_time{200};
    std::chrono::seconds time{30};
    /// How often instances learn of the others' work; 0 for never.
    std::chrono::milliseconds exchange{0};
    std::uint64_t seed = 1;
};

struct simulated_result {
    double mean = 0;
    double small_p99 = 0;
    double large_p99 = 0;
    double in_target = 0;
    double small_in_target = 0;
    double large_in_target = 0;
    /// Calls of the busiest upstream by the mean of all.
    double imbalance = 0;
    double refused = 0;
};

/// Plays a load with one pool for each instance.
class load_simulation {
public:
    load_simulation(simulated_load load,
                    std::optional<placement_options> by_cost)
        : load_(std::move(load))
        , engine_(load_.seed) {
        const std::size_t zones = load_.zone_speeds.size();
        std::vector<upstream_entry> entries;
        for (std::size_t index = 0; index < load_.upstreams; ++index) {
            entries.push_back(
                {.id = upstream_id("u" + std::to_string(100 + index)),
                 .service = service_,
                 .zone = zone(index % zones),
                 .slots = slots});
            upstreams_.push_back({.id = entries.back().id,
                                  .zone = index % zones,
                                  .speed = load_.zone_speeds[index % zones]});
        }
        for (std::size_t index = 0; index < load_.instances; ++index) {
            upstream_pool_options options{.zone = zone(index % zones)};
            if (by_cost) {
                options.by_cost = by_cost;
                options.by_cost->seed = load_.seed * 1000 + index;
            }
            pools_.push_back(std::make_unique<upstream_pool>(options));
            pools_.back()->set_upstreams(entries);
        }
    }

    simulated_result run() {
        start_callers();
        if (load_.slow_phases > 0) {
            at(random_time(1 / load_.slow_phases), [this] { slow_down(); });
        }
        if (load_.exchange > std::chrono::milliseconds(0) &&
            pools_.front()->by_cost() != nullptr) {
            at(load_.exchange, [this] { exchange(); });
        }
        while (!events_.empty()) {
            const event next = events_.top();
            events_.pop();
            now_ = next.time;
            next.action();
        }
        return result();
    }

private:
    using duration = std::chrono::nanoseconds;

    struct event {
        steady_time time;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const event& other) const {
            return std::tie(time, number) > std::tie(other.time, other.number);
        }
    };

    struct caller_call {
        std::size_t instance = 0;
        bool is_large = false;
        double tail = 1;
        steady_time began;
        std::optional<call_cost> cost;
        std::set<upstream_id> tried;
        /// Of the attempt in progress.
        steady_time sent;
        std::uint64_t number = 0;
    };

    struct upstream {
        upstream_id id;
        std::size_t zone = 0;
        double speed = 1;
        double slowness = 1;
        std::size_t running = 0;
        std::deque<std::function<void()>> waiting;
        std::size_t calls = 0;
    };

    static constexpr std::uint32_t slots = 6;
    static constexpr std::size_t max_waiting = 24;
    static constexpr std::size_t max_sends = 8;

    static availability_zone zone(std::size_t index) {
        return availability_zone("z" + std::to_string(index));
    }

    [[nodiscard]] bool has_ended() const {
        return now_ >= steady_time(std::chrono::hours(1)) + load_.time;
    }

    void at(duration after, std::function<void()> action) {
        events_.push({.time = now_ + after,
                      .number = ++last_event_,
                      .action = std::move(action)});
    }

    double uniform(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(engine_);
    }

    duration random_time(double mean_seconds) {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(std::exponential_distribution<double>(
                1 / mean_seconds)(engine_)));
    }

    void start_callers() {
        // The work of a second is spread evenly over instances of a kind.
        double capacity = 0;
        for (const upstream& each : upstreams_) {
            capacity += each.speed * slots;
        }
        const double mean_tail = 1 + load_.tail_share * 4;
        const double work = capacity * load_.utilisation / mean_tail;
        const double small_rate =
            work * (1 - load_.large_work) /
            std::chrono::duration<double>(load_.small_time).count();
        const double burst_rate =
            work * load_.large_work /
            std::chrono::duration<double>(load_.large_time).count() /
            static_cast<double>(load_.busy_instances * load_.burst);
        for (std::size_t index = 0; index < load_.instances; ++index) {
            const bool is_busy = index < load_.busy_instances;
            const double rate =
                small_rate *
                (is_busy ? load_.busy_small /
                               static_cast<double>(load_.busy_instances)
                         : (1 - load_.busy_small) /
                               static_cast<double>(load_.instances -
                                                   load_.busy_instances));
            at(random_time(1 / rate),
               [this, index, rate] { send_small(index, rate); });
            if (is_busy && load_.large_work > 0) {
                at(random_time(1 / burst_rate), [this, index, burst_rate] {
                    send_burst(index, burst_rate);
                });
            }
        }
    }

    void send_small(std::size_t instance, double rate) {
        if (has_ended()) {
            return;
        }
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                                now_.time_since_epoch())
                                .count();
        const double factor = second % 5 == 0 ? load_.surge : 1;
        begin(instance, false);
        at(random_time(1 / (rate * factor)),
           [this, instance, rate] { send_small(instance, rate); });
    }

    void send_burst(std::size_t instance, double rate) {
        if (has_ended()) {
            return;
        }
        for (std::size_t call = 0; call < load_.burst; ++call) {
            at(std::chrono::milliseconds(call),
               [this, instance] { begin(instance, true); });
        }
        at(random_time(1 / rate),
           [this, instance, rate] { send_burst(instance, rate); });
    }

    void slow_down() {
        if (has_ended()) {
            return;
        }
        upstream& chosen = upstreams_[engine_() % upstreams_.size()];
        chosen.slowness = uniform(2.5, 6);
        at(std::chrono::milliseconds(
               static_cast<std::int64_t>(uniform(3'000, 8'000))),
           [&chosen] { chosen.slowness = 1; });
        at(random_time(1 / load_.slow_phases), [this] { slow_down(); });
    }

    /// Gives each instance the sums of the others in its zone.
    void exchange() {
        if (has_ended()) {
            return;
        }
        const std::size_t zones = load_.zone_speeds.size();
        std::vector<std::map<upstream_id, upstream_sum>> totals(zones);
        std::vector<std::map<upstream_id, upstream_sum>> own(pools_.size());
        for (std::size_t index = 0; index < pools_.size(); ++index) {
            for (const upstream_sum& sum :
                 pools_[index]->by_cost()->work().take_sums(now_)) {
                upstream_sum& total = totals[index % zones][sum.upstream];
                total.work += sum.work;
                total.samples += sum.samples;
                total.slowness += sum.slowness;
                own[index][sum.upstream] = sum;
            }
        }
        for (std::size_t index = 0; index < pools_.size(); ++index) {
            auto& work = pools_[index]->by_cost()->work();
            for (const auto& [id, total] : totals[index % zones]) {
                const upstream_sum& sent = own[index][id];
                const upstream_sum others{
                    .upstream = id,
                    .work = total.work - sent.work,
                    .samples = total.samples - sent.samples,
                    .slowness = total.slowness - sent.slowness};
                // The heartbeat comes half a period later.
                at(load_.exchange / 2, [this, &work, others] {
                    work.on_report(others, load_.exchange / 2, now_);
                });
            }
        }
        at(load_.exchange, [this] { exchange(); });
    }

    void begin(std::size_t instance, bool is_large) {
        auto call = std::make_shared<caller_call>();
        call->instance = instance;
        call->is_large = is_large;
        call->tail = uniform(0, 1) < load_.tail_share ? 5 : uniform(0.9, 1.1);
        call->began = now_;
        upstream_pool& pool = *pools_[instance];
        if (pool.by_cost() != nullptr) {
            call->cost = pool.by_cost()->estimator().estimate(
                service_, {.route = is_large ? "large" : "small"});
        }
        ++begun_[is_large ? 1 : 0];
        send(call);
    }

    void send(const std::shared_ptr<caller_call>& call) {
        upstream_pool& pool = *pools_[call->instance];
        const auto chosen =
            call->tried.size() < max_sends
                ? pool.choose(service_, call->tried, now_, nullptr,
                              call->cost ? &*call->cost : nullptr)
                : std::nullopt;
        if (!chosen) {
            ++refused_;
            return;
        }
        call->tried.insert(chosen->id);
        call->sent = now_;
        if (call->cost) {
            call->number = pool.on_started(chosen->id, *call->cost, now_);
        } else {
            pool.on_started(chosen->id);
        }
        upstream& target = *std::find_if(
            upstreams_.begin(), upstreams_.end(),
            [&](const upstream& each) { return each.id == chosen->id; });
        const bool is_near =
            target.zone == call->instance % load_.zone_speeds.size();
        const std::chrono::microseconds hop(is_near ? 300 : 1'500);
        at(hop, [this, call, &target, hop] { arrive(call, target, hop); });
    }

    void arrive(const std::shared_ptr<caller_call>& call, upstream& target,
                std::chrono::microseconds hop) {
        if (target.running < slots) {
            work(call, target, hop);
        } else if (target.waiting.size() < max_waiting) {
            target.waiting.emplace_back(
                [this, call, &target, hop] { work(call, target, hop); });
        } else {
            at(hop, [this, call, &target] {
                end(call, target, call_outcome::full);
                send(call);
            });
        }
    }

    void work(const std::shared_ptr<caller_call>& call, upstream& target,
              std::chrono::microseconds hop) {
        ++target.running;
        ++target.calls;
        const auto time = std::chrono::duration_cast<duration>(
            (call->is_large ? load_.large_time : load_.small_time) *
            (call->tail * target.slowness / target.speed));
        at(time, [this, call, &target, hop] {
            --target.running;
            if (!target.waiting.empty()) {
                const auto next = std::move(target.waiting.front());
                target.waiting.pop_front();
                next();
            }
            at(hop, [this, call, &target] {
                end(call, target, call_outcome::answered);
                times_[call->is_large ? 1 : 0].push_back(
                    std::chrono::duration<double, std::milli>(now_ -
                                                              call->began)
                        .count());
            });
        });
    }

    void end(const std::shared_ptr<caller_call>& call, const upstream& target,
             call_outcome how) {
        upstream_pool& pool = *pools_[call->instance];
        const auto time = std::chrono::duration_cast<std::chrono::microseconds>(
            now_ - call->sent);
        if (call->cost) {
            pool.on_ended(target.id, *call->cost, call->number, how, time,
                          now_);
        } else {
            pool.on_ended(target.id, how, time, now_);
        }
    }

    [[nodiscard]] simulated_result result() {
        simulated_result result{.refused = static_cast<double>(refused_)};
        const std::array<double, 2> targets{150, 800};
        std::array<double, 2> in_time{};
        double sum = 0;
        for (std::size_t kind = 0; kind < 2; ++kind) {
            auto& times = times_[kind];
            std::sort(times.begin(), times.end());
            for (const double time : times) {
                sum += time;
                in_time[kind] += time <= targets[kind] ? 1 : 0;
            }
        }
        const auto p99 = [](const std::vector<double>& times) {
            return times.empty() ? 0 : times[times.size() * 99 / 100];
        };
        const auto share = [](double part, std::size_t all) {
            return all == 0 ? 1 : part / static_cast<double>(all);
        };
        result.small_p99 = p99(times_[0]);
        result.large_p99 = p99(times_[1]);
        result.mean = share(sum, times_[0].size() + times_[1].size());
        result.small_in_target = share(in_time[0], begun_[0]);
        result.large_in_target = share(in_time[1], begun_[1]);
        result.in_target =
            share(in_time[0] + in_time[1], begun_[0] + begun_[1]);
        std::size_t calls = 0;
        std::size_t most = 0;
        for (const upstream& each : upstreams_) {
            calls += each.calls;
            most = std::max(most, each.calls);
        }
        result.imbalance = static_cast<double>(most * upstreams_.size()) /
                           static_cast<double>(std::max<std::size_t>(calls, 1));
        return result;
    }

    simulated_load load_;
    std::mt19937_64 engine_;
    service_name service_{"desk"};
    steady_time now_{std::chrono::hours(1)};
    std::priority_queue<event> events_;
    std::uint64_t last_event_ = 0;
    std::vector<upstream> upstreams_;
    std::vector<std::unique_ptr<upstream_pool>> pools_;
    std::array<std::vector<double>, 2> times_;
    std::array<std::size_t, 2> begun_{};
    std::size_t refused_ = 0;
};

} // namespace savorydock
