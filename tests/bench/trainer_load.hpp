#pragma once

#include "servers/step_schedule/step_schedule.hpp"
#include "tests/bench/bench_instance.hpp"

#include <map>
#include <memory>
#include <vector>

namespace savorydock::bench {

struct trainer_figures {
    std::vector<double> idle_seconds;
    std::uint64_t handed_over = 0;
    std::uint64_t discarded_too_old = 0;
    std::uint64_t cancelled_early = 0;
    /// Tokens of discarded answers and cancelled runs.
    std::uint64_t wasted_tokens = 0;
    std::uint64_t moved = 0;
    std::uint64_t hedged = 0;
    std::uint64_t lost = 0;
    std::uint64_t staleness_sum = 0;
    std::uint64_t max_staleness = 0;
};

/// Simulates a trainer. It requests the samples of the next step while it
/// trains on the last one, and is idle when they arrive after the training.
class trainer_load {
public:
    trainer_load(event_loop& loop, bench_instance& entry,
                 const bench_load& load, const bench_policy& policy,
                 std::uint32_t number, std::uint64_t seed);

    void begin_step();
    void on_new_weights(weight_version newest);
    [[nodiscard]] const trainer_figures& figures() const { return figures_; }

private:
    struct live_run {
        std::uint64_t ticket = 0;
        bool has_started = false;
        weight_version version = 0;
        std::uint32_t tokens = 0;
    };

    [[nodiscard]] std::uint32_t length_of(slot_place slot) const;
    void submit_all();
    void start_next_slots();
    void review();
    void run_slot(slot_place slot, std::uint32_t expected,
                  weight_version minimum, const live_run* resumed,
                  const std::vector<upstream_id>& excluded);
    void handle_end(std::uint64_t step, const run_key& run,
                    const call_end& end);
    void accept(slot_place slot, const call_end& end);
    void cancel_runs(slot_place slot);
    void finish_step();

    event_loop& loop_;
    bench_instance& entry_;
    bench_load load_;
    bench_policy policy_;
    std::uint32_t number_;
    std::uint64_t seed_;
    length_estimator lengths_;
    weights_forecast forecast_;
    std::uint64_t step_ = 0;
    std::vector<std::uint64_t> prefixes_;
    std::unique_ptr<step_schedule> schedule_;
    std::map<run_key, live_run> live_;
    std::vector<bool> done_;
    std::size_t open_ = 0;
    std::uint32_t next_run_ = 0;
    std::uint32_t not_started_ = 0;
    steady_time trained_at_{};
    trainer_figures figures_;
};

} // namespace savorydock::bench
