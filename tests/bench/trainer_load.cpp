#include "tests/bench/trainer_load.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace savorydock::bench {

namespace {

/// Maximum number of slots that wait in the admission queue. The others stay in
/// the schedule, where their order can still change.
constexpr std::uint32_t queued_slots = 4;

constexpr std::chrono::seconds review_period{1};
constexpr std::chrono::hours call_deadline{1};

/// Delay before a trainer without the schedule retries a rejected request; with
/// the schedule, the retry comes with the next review.
constexpr bench_seconds refusal_retry_delay{1};

/// Parameters of log-normal answer lengths in tokens: the mean differs between
/// prompts, and samples of one prompt vary around it.
constexpr double prompt_log_mean = 5.7;
constexpr double prompt_log_deviation = 0.8;
constexpr double sample_log_deviation = 0.3;
constexpr double shortest_answer_tokens = 16;
constexpr double longest_answer_tokens = 4'096;

double unit(std::uint64_t bits) {
    return (static_cast<double>(bits >> 11U) + 0.5) * 0x1.0p-53;
}

/// A normally distributed value derived from `key` alone, so that all policies
/// get the same lengths.
double normal(std::uint64_t key) {
    const double radius = std::sqrt(-2 * std::log(unit(mix_bits(key))));
    return radius * std::cos(2 * std::numbers::pi * unit(mix_bits(~key)));
}

} // namespace

trainer_load::trainer_load(event_loop& loop, bench_instance& entry,
                           const bench_load& load, const bench_policy& policy,
                           std::uint32_t number, std::uint64_t seed)
    : loop_(loop)
    , entry_(entry)
    , load_(load)
    , policy_(policy)
    , number_(number)
    , seed_(seed) {
    forecast_.observe(1, loop.now());
    loop_.every(review_period, [this] { review(); });
}

std::uint32_t trainer_load::length_of(slot_place slot) const {
    const std::uint64_t prompt = prefixes_[slot.group];
    const std::uint64_t sample =
        mix_bits(prompt + mix_bits(step_ * 1'000 + slot.index));
    const double tokens =
        std::exp(prompt_log_mean + prompt_log_deviation * normal(prompt) +
                 sample_log_deviation * normal(sample));
    return static_cast<std::uint32_t>(
        std::clamp(tokens, shortest_answer_tokens, longest_answer_tokens));
}

void trainer_load::begin_step() {
    ++step_;
    live_.clear();
    prefixes_.clear();
    not_started_ = 0;
    const std::uint64_t own = mix_bits(seed_ * 64 + number_);
    for (std::uint32_t group = 0; group < load_.groups; ++group) {
        const std::uint64_t prompt_hash = mix_bits(own + step_ * 4'096 + group);
        prefixes_.push_back(mix_bits(own ^ (prompt_hash % load_.prompts + 1)));
    }
    open_ = std::size_t{load_.groups} * load_.group_size;
    done_.assign(open_, false);
    if (!policy_.has_schedule) {
        submit_all();
        return;
    }
    schedule_ = std::make_unique<step_schedule>(
        step_schedule_options{.group_size = load_.group_size,
                              .staleness_bound = load_.staleness_bound,
                              .idle_weight = policy_.idle_weight},
        prefixes_, lengths_, forecast_);
    start_next_slots();
}

void trainer_load::submit_all() {
    for (std::uint32_t group = 0; group < load_.groups; ++group) {
        for (std::uint32_t sample_index = 0; sample_index < load_.group_size;
             ++sample_index) {
            run_slot({group, sample_index}, 0, 0, nullptr, {});
        }
    }
}

void trainer_load::start_next_slots() {
    while (not_started_ < queued_slots) {
        const auto start = schedule_->next(loop_.now());
        if (!start) {
            return;
        }
        run_slot(start->slot, start->expected_tokens, start->minimum_version,
                 nullptr, {});
    }
}

void trainer_load::run_slot(slot_place slot, std::uint32_t expected,
                            weight_version minimum, const live_run* resumed,
                            const std::vector<upstream_id>& excluded) {
    const run_key run{slot, ++next_run_};
    const std::uint64_t step = step_;
    bench_call call{.class_of_service = class_name("batch"),
                    .caller = caller_id("t" + std::to_string(number_)),
                    .prefix = prefixes_[slot.group],
                    .expected_tokens = expected,
                    .minimum_version = minimum,
                    .tokens = length_of(slot),
                    .deadline = loop_.now() + call_deadline,
                    .excluded = excluded};
    if (resumed != nullptr) {
        call.first_tokens = std::min(resumed->tokens, call.tokens - 1);
        call.first_version = resumed->version;
    }
    ++not_started_;
    call.on_start = [=, this](weight_version version) {
        const auto found = live_.find(run);
        if (step != step_ || found == live_.end()) {
            return;
        }
        if (!found->second.has_started) {
            --not_started_;
        }
        found->second.has_started = true;
        found->second.version = version;
        if (schedule_) {
            schedule_->begin(run, version, loop_.now());
        }
    };
    call.on_end = [=, this](const call_end& end) {
        handle_end(step, run, end);
    };
    live_[run] = {};
    live_[run].ticket = entry_.submit(std::move(call));
}

void trainer_load::handle_end(std::uint64_t step, const run_key& run,
                              const call_end& end) {
    const auto found = live_.find(run);
    if (step != step_ || found == live_.end()) {
        return;
    }
    if (!found->second.has_started) {
        --not_started_;
    }
    live_.erase(found);
    if (end.code == result_code::ok) {
        accept(run.slot, end);
        if (done_[run.slot.group * load_.group_size + run.slot.index]) {
            return;
        }
    } else {
        ++figures_.lost;
    }
    if (!schedule_) {
        const bool is_immediate = end.code == result_code::ok;
        loop_.after(is_immediate ? bench_seconds(0) : refusal_retry_delay,
                    [=, this] {
                        if (step == step_) {
                            run_slot(run.slot, 0, 0, nullptr, {});
                        }
                    });
        return;
    }
    schedule_->remove_run(run);
    if (end.code == result_code::ok) {
        start_next_slots();
    }
}

void trainer_load::accept(slot_place slot, const call_end& end) {
    lengths_.learn(prefixes_[slot.group], end.tokens);
    const weight_version lag = forecast_.newest() - end.oldest_version;
    if (lag > load_.staleness_bound) {
        ++figures_.discarded_too_old;
        figures_.wasted_tokens += end.tokens;
        return;
    }
    done_[slot.group * load_.group_size + slot.index] = true;
    ++figures_.handed_over;
    figures_.staleness_sum += lag;
    figures_.max_staleness = std::max(figures_.max_staleness, lag);
    cancel_runs(slot);
    if (schedule_) {
        schedule_->finish(slot);
    }
    if (--open_ == 0) {
        finish_step();
    } else if (schedule_) {
        start_next_slots();
    }
}

void trainer_load::cancel_runs(slot_place slot) {
    for (auto current = live_.begin(); current != live_.end();) {
        if (current->first.slot != slot) {
            ++current;
            continue;
        }
        figures_.wasted_tokens += current->second.tokens;
        entry_.cancel(current->second.ticket);
        not_started_ -= current->second.has_started ? 0 : 1;
        current = live_.erase(current);
    }
}

void trainer_load::review() {
    if (!schedule_) {
        return;
    }
    const steady_time now = loop_.now();
    for (auto& [run, live] : live_) {
        if (const auto tokens = entry_.tokens_of(live.ticket)) {
            live.tokens = *tokens;
            schedule_->progress(run, *tokens, now);
        }
        if (entry_.is_paused(live.ticket)) {
            schedule_->exclude_pause(run, now);
        }
    }
    for (const straggler_action& action : schedule_->review(now)) {
        const auto found = live_.find(action.run);
        if (found == live_.end()) {
            continue;
        }
        const live_run live = found->second;
        const std::vector excluded{entry_.upstream_of(live.ticket)};
        if (action.kind == straggler_kind::hedge) {
            ++figures_.hedged;
            run_slot(action.run.slot, 0, 0, nullptr, excluded);
            continue;
        }
        entry_.cancel(live.ticket);
        live_.erase(found);
        if (action.kind == straggler_kind::resume_elsewhere) {
            ++figures_.moved;
            run_slot(action.run.slot, 0, 0, &live, excluded);
        } else {
            ++figures_.cancelled_early;
            figures_.wasted_tokens += live.tokens;
        }
    }
    start_next_slots();
}

void trainer_load::on_new_weights(weight_version newest) {
    forecast_.observe(newest, loop_.now());
}

void trainer_load::finish_step() {
    const steady_time now = loop_.now();
    if (step_ > 1) {
        const bench_seconds idle = now - std::min(now, trained_at_);
        figures_.idle_seconds.push_back(idle.count());
    }
    trained_at_ =
        std::max(now, trained_at_) +
        std::chrono::duration_cast<steady_time::duration>(load_.training);
    // The next step is requested when training on this one begins.
    const steady_time begins =
        trained_at_ -
        std::chrono::duration_cast<steady_time::duration>(load_.training);
    loop_.after(begins - now, [this] { begin_step(); });
}

} // namespace savorydock::bench
