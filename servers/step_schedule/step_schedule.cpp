#include "servers/step_schedule/step_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace savorydock {

namespace {

using duration_seconds = std::chrono::duration<double>;

/// A run younger than this has no pace that could be judged.
constexpr duration_seconds judging_age{4};

/// A run that brought no token for this long is stalled.
constexpr duration_seconds stall_time{5};

/// A move must save at least this much.
constexpr duration_seconds least_gain{5};

/// Runs slower than this part of the typical pace are moved, while slots wait
/// and once none does.
constexpr double slow_pace = 0.5;
constexpr double slow_tail_pace = 0.7;

/// A slot is moved between upstreams at most this often.
constexpr std::uint32_t max_moves = 2;

/// A run beyond its expected length is taken to have this part to go.
constexpr double overrun_part = 0.25;

/// Used before any run showed its pace, in tokens a second.
constexpr double unknown_pace = 30;

} // namespace

step_schedule::step_schedule(const step_schedule_options& options,
                             std::span<const std::uint64_t> prefixes,
                             const length_estimator& lengths,
                             const weights_outlook& outlook)
    : options_(options)
    , prefixes_(prefixes.begin(), prefixes.end())
    , lengths_(lengths)
    , outlook_(outlook)
    , slots_(prefixes.size() * options.group_size)
    , open_slots_(slots_.size()) {
    for (std::uint32_t group = 0; group < prefixes_.size(); ++group) {
        for (std::uint32_t at = 0; at < options_.group_size; ++at) {
            wait_again({group, at});
        }
    }
}

step_schedule::slot_entry& step_schedule::entry(slot_place slot) {
    return slots_[std::size_t{slot.group} * options_.group_size + slot.index];
}

step_schedule::run_entry* step_schedule::find(const run_key& run) {
    const auto found =
        std::find_if(runs_.begin(), runs_.end(),
                     [&](const auto& entry) { return entry.key == run; });
    return found == runs_.end() ? nullptr : &*found;
}

bool step_schedule::has_run(slot_place slot) const {
    return std::any_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
        return entry.key.slot == slot;
    });
}

void step_schedule::wait_again(slot_place slot) {
    const expected_length length = lengths_.expect(prefixes_[slot.group]);
    waiting_.insert({-length.high, slot});
}

duration_seconds step_schedule::expected_time(double tokens) const {
    return duration_seconds(tokens /
                            (typical_pace_ > 0 ? typical_pace_ : unknown_pace));
}

bool step_schedule::is_held(const expected_length& length,
                            steady_time now) const {
    // The more staleness weighs, the more careful the estimate.
    const double tokens =
        length.mean + (1 - options_.idle_weight) * (length.high - length.mean);
    const auto run = std::chrono::duration_cast<steady_time::duration>(
        expected_time(tokens));
    if (outlook_.changes_until(now + run, now) <= options_.staleness_bound) {
        return false;
    }
    const steady_time due = outlook_.next_due(now);
    if (due <= now) {
        // Overdue weights may never come; nothing waits for them.
        return false;
    }
    const bool is_better_later =
        outlook_.changes_until(due + run, now) <= options_.staleness_bound + 1;
    const duration_seconds wait = due - now;
    return is_better_later &&
           wait <= outlook_.interval() * (1 - options_.idle_weight);
}

weight_version step_schedule::oldest_start(const expected_length& length,
                                           steady_time now) const {
    const auto run = std::chrono::duration_cast<steady_time::duration>(
        expected_time(length.mean));
    const std::uint32_t changes = outlook_.changes_until(now + run, now);
    const std::uint32_t slack = options_.staleness_bound > changes
                                    ? options_.staleness_bound - changes
                                    : 0;
    const auto lag = std::min(slack, static_cast<std::uint32_t>(std::floor(
                                         2 * options_.idle_weight * slack)));
    return outlook_.newest() > lag ? outlook_.newest() - lag : 0;
}

std::optional<slot_start> step_schedule::next(steady_time now) {
    double last_judged = 1;
    for (auto at = waiting_.begin(); at != waiting_.end(); ++at) {
        if (at->first == last_judged) {
            continue;
        }
        const slot_place slot = at->second;
        const std::uint64_t prefix = prefixes_[slot.group];
        const expected_length length = lengths_.expect(prefix);
        if (is_held(length, now)) {
            last_judged = at->first;
            continue;
        }
        waiting_.erase(at);
        return slot_start{.slot = slot,
                          .prefix_hash = prefix,
                          .expected_tokens =
                              static_cast<std::uint32_t>(length.mean),
                          .minimum_version = oldest_start(length, now)};
    }
    return std::nullopt;
}

void step_schedule::put_back(slot_place slot) {
    if (!entry(slot).is_done && !has_run(slot)) {
        wait_again(slot);
    }
}

void step_schedule::begin(const run_key& run, weight_version version,
                          steady_time now) {
    runs_.push_back(
        {.key = run, .version = version, .since = now, .advanced = now});
}

void step_schedule::progress(const run_key& run, std::uint32_t tokens,
                             steady_time now) {
    run_entry* const entry = find(run);
    if (entry == nullptr || (entry->has_progress && tokens <= entry->tokens)) {
        return;
    }
    if (!entry->has_progress) {
        // What a resumed run brings along says nothing about its pace.
        entry->has_progress = true;
        entry->first_tokens = tokens;
        entry->since = now;
    }
    entry->tokens = tokens;
    entry->advanced = now;
}

void step_schedule::excuse(const run_key& run, steady_time now) {
    if (run_entry* const entry = find(run)) {
        entry->since += now - entry->advanced;
        entry->advanced = now;
    }
}

void step_schedule::lose(const run_key& run) {
    std::erase_if(runs_, [&](const auto& entry) { return entry.key == run; });
    put_back(run.slot);
}

void step_schedule::reopen(slot_place slot) {
    if (!entry(slot).is_done) {
        return;
    }
    entry(slot).is_done = false;
    ++open_slots_;
    put_back(slot);
}

void step_schedule::finish(slot_place slot) {
    if (entry(slot).is_done) {
        return;
    }
    entry(slot).is_done = true;
    --open_slots_;
    std::erase_if(runs_, [&](const auto& run) { return run.key.slot == slot; });
    std::erase_if(waiting_,
                  [&](const auto& waiting) { return waiting.second == slot; });
}

void step_schedule::update_typical_pace(steady_time now) {
    std::vector<double> paces;
    for (const run_entry& run : runs_) {
        const duration_seconds age = now - run.since;
        if (run.has_progress && age >= judging_age) {
            paces.push_back((run.tokens - run.first_tokens) / age.count());
        }
    }
    if (paces.empty()) {
        return;
    }
    const auto middle =
        paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    // The last runs of a step may all be slow; what was typical still is.
    typical_pace_ =
        waiting_.empty() ? std::max(typical_pace_, *middle) : *middle;
}

duration_seconds step_schedule::remaining_time(const run_entry& run,
                                               steady_time now) const {
    const expected_length length =
        lengths_.expect(prefixes_[run.key.slot.group]);
    const double left =
        std::max(length.mean - run.tokens, overrun_part * run.tokens);
    const duration_seconds age = now - run.since;
    const double brought = run.tokens - run.first_tokens;
    if (!run.has_progress || age < judging_age || brought <= 0) {
        return expected_time(left);
    }
    return duration_seconds(left / (brought / age.count()));
}

bool step_schedule::will_be_too_old(const run_entry& run,
                                    steady_time now) const {
    const auto is_over = [&](weight_version newest) {
        return newest > run.version + options_.staleness_bound;
    };
    if (is_over(outlook_.newest())) {
        return true;
    }
    // A new run on the same weights would fare no better.
    if (options_.idle_weight >= 1 || run.version >= outlook_.newest()) {
        return false;
    }
    // A forecast must be the surer the more idle time weighs.
    const auto shortest = std::chrono::duration_cast<steady_time::duration>(
        remaining_time(run, now) * (1 - options_.idle_weight));
    return is_over(outlook_.newest() +
                   outlook_.changes_until(now + shortest, now));
}

std::optional<straggler_kind> step_schedule::judge(const run_entry& run,
                                                   steady_time now) {
    if (will_be_too_old(run, now)) {
        return straggler_kind::restart;
    }
    if (run.is_hedged) {
        return std::nullopt;
    }
    const duration_seconds quiet = now - run.advanced;
    const auto budget = static_cast<std::uint32_t>(
        std::ceil(options_.hedge_budget * static_cast<double>(slots_.size())));
    if (quiet >= stall_time && hedges_ < budget) {
        return straggler_kind::hedge;
    }
    const duration_seconds age = now - run.since;
    if (!run.has_progress || age < judging_age || quiet >= stall_time ||
        entry(run.key.slot).moves >= max_moves) {
        return std::nullopt;
    }
    const double pace = (run.tokens - run.first_tokens) / age.count();
    const double limit = waiting_.empty() ? slow_tail_pace : slow_pace;
    const duration_seconds left = remaining_time(run, now);
    const bool is_slow = pace < limit * typical_pace_;
    if (is_slow && left * (1 - pace / typical_pace_) >= least_gain) {
        return straggler_kind::resume_elsewhere;
    }
    return std::nullopt;
}

std::vector<straggler_action> step_schedule::review(steady_time now) {
    update_typical_pace(now);
    std::vector<straggler_action> actions;
    for (run_entry& run : runs_) {
        const auto kind = judge(run, now);
        if (!kind) {
            continue;
        }
        actions.push_back({*kind, run.key});
        if (*kind == straggler_kind::hedge) {
            run.is_hedged = true;
            ++hedges_;
        }
        if (*kind == straggler_kind::resume_elsewhere) {
            ++entry(run.key.slot).moves;
        }
    }
    for (const straggler_action& action : actions) {
        if (action.kind == straggler_kind::hedge) {
            continue;
        }
        std::erase_if(runs_,
                      [&](const auto& run) { return run.key == action.run; });
        if (action.kind == straggler_kind::restart) {
            put_back(action.run.slot);
        }
    }
    return actions;
}

} // namespace savorydock
