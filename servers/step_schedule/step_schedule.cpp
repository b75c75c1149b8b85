#include "servers/step_schedule/step_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace savorydock {

namespace {

using duration_seconds = std::chrono::duration<double>;

/// Minimum age at which the pace of a run is evaluated.
constexpr duration_seconds min_pace_age{4};

/// A run that generated no token for this long is stalled.
constexpr duration_seconds stall_time{5};

/// Minimum expected time saved by resuming a run on another upstream.
constexpr duration_seconds min_time_saved{5};

/// Runs slower than this fraction of the typical pace are resumed on another
/// upstream: the first while slots are waiting, the second once none is.
constexpr double slow_pace_ratio = 0.5;
constexpr double slow_tail_pace_ratio = 0.7;

/// Maximum number of times that a slot is resumed on another upstream.
constexpr std::uint32_t max_moves = 2;

/// A run beyond its expected length is assumed to have this fraction of its
/// tokens still to generate.
constexpr double overrun_remaining_fraction = 0.25;

/// Used until the pace of a run is known, in tokens per second.
constexpr double default_pace = 30;

} // namespace

step_schedule::step_schedule(const step_schedule_options& options,
                             std::span<const std::uint64_t> prefixes,
                             const length_estimator& lengths,
                             const weights_forecast& forecast)
    : options_(options)
    , prefixes_(prefixes.begin(), prefixes.end())
    , lengths_(lengths)
    , forecast_(forecast)
    , slots_(prefixes.size() * options.group_size)
    , open_slots_(slots_.size()) {
    for (std::uint32_t group = 0; group < prefixes_.size(); ++group) {
        for (std::uint32_t at = 0; at < options_.group_size; ++at) {
            add_waiting({group, at});
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

void step_schedule::add_waiting(slot_place slot) {
    const expected_length length = lengths_.expect(prefixes_[slot.group]);
    waiting_.insert({-length.high, slot});
}

duration_seconds step_schedule::expected_time(double tokens) const {
    return duration_seconds(tokens /
                            (typical_pace_ > 0 ? typical_pace_ : default_pace));
}

bool step_schedule::should_wait_for_weights(const expected_length& length,
                                            steady_time now) const {
    // The more staleness weighs, the longer the assumed answer.
    const double tokens =
        length.mean + (1 - options_.idle_weight) * (length.high - length.mean);
    const auto run = std::chrono::duration_cast<steady_time::duration>(
        expected_time(tokens));
    if (forecast_.versions_until(now + run, now) <= options_.staleness_bound) {
        return false;
    }
    const steady_time due = forecast_.next_due(now);
    if (due <= now) {
        // Overdue weights may never arrive, so no slot waits for them.
        return false;
    }
    const bool fits_after_next_version =
        forecast_.versions_until(due + run, now) <=
        options_.staleness_bound + 1;
    const duration_seconds wait = due - now;
    return fits_after_next_version &&
           wait <= forecast_.interval() * (1 - options_.idle_weight);
}

weight_version step_schedule::min_start_version(const expected_length& length,
                                                steady_time now) const {
    const auto run = std::chrono::duration_cast<steady_time::duration>(
        expected_time(length.mean));
    const std::uint32_t new_versions = forecast_.versions_until(now + run, now);
    const std::uint32_t slack = options_.staleness_bound > new_versions
                                    ? options_.staleness_bound - new_versions
                                    : 0;
    const auto lag = std::min(slack, static_cast<std::uint32_t>(std::floor(
                                         2 * options_.idle_weight * slack)));
    return forecast_.newest() > lag ? forecast_.newest() - lag : 0;
}

std::optional<slot_start> step_schedule::next(steady_time now) {
    double last_deferred = 1;
    for (auto at = waiting_.begin(); at != waiting_.end(); ++at) {
        if (at->first == last_deferred) {
            continue;
        }
        const slot_place slot = at->second;
        const std::uint64_t prefix = prefixes_[slot.group];
        const expected_length length = lengths_.expect(prefix);
        if (should_wait_for_weights(length, now)) {
            last_deferred = at->first;
            continue;
        }
        waiting_.erase(at);
        return slot_start{.slot = slot,
                          .prefix_hash = prefix,
                          .expected_tokens =
                              static_cast<std::uint32_t>(length.mean),
                          .minimum_version = min_start_version(length, now)};
    }
    return std::nullopt;
}

void step_schedule::put_back(slot_place slot) {
    if (!entry(slot).is_done && !has_run(slot)) {
        add_waiting(slot);
    }
}

void step_schedule::begin(const run_key& run, weight_version version,
                          steady_time now) {
    runs_.push_back({.key = run,
                     .version = version,
                     .pace_start = now,
                     .last_token_at = now});
}

void step_schedule::progress(const run_key& run, std::uint32_t tokens,
                             steady_time now) {
    run_entry* const entry = find(run);
    if (entry == nullptr || (entry->has_progress && tokens <= entry->tokens)) {
        return;
    }
    if (!entry->has_progress) {
        // Tokens taken over by a resumed run do not count towards its pace.
        entry->has_progress = true;
        entry->first_tokens = tokens;
        entry->pace_start = now;
    }
    entry->tokens = tokens;
    entry->last_token_at = now;
}

void step_schedule::exclude_pause(const run_key& run, steady_time now) {
    if (run_entry* const entry = find(run)) {
        entry->pace_start += now - entry->last_token_at;
        entry->last_token_at = now;
    }
}

void step_schedule::remove_run(const run_key& run) {
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
        const duration_seconds age = now - run.pace_start;
        if (run.has_progress && age >= min_pace_age) {
            paces.push_back((run.tokens - run.first_tokens) / age.count());
        }
    }
    if (paces.empty()) {
        return;
    }
    const auto median =
        paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), median, paces.end());
    // The last runs of a step may all be slow; they do not lower the typical
    // pace.
    typical_pace_ =
        waiting_.empty() ? std::max(typical_pace_, *median) : *median;
}

duration_seconds step_schedule::remaining_time(const run_entry& run,
                                               steady_time now) const {
    const expected_length length =
        lengths_.expect(prefixes_[run.key.slot.group]);
    const double remaining = std::max(length.mean - run.tokens,
                                      overrun_remaining_fraction * run.tokens);
    const duration_seconds age = now - run.pace_start;
    const double generated = run.tokens - run.first_tokens;
    if (!run.has_progress || age < min_pace_age || generated <= 0) {
        return expected_time(remaining);
    }
    return duration_seconds(remaining / (generated / age.count()));
}

bool step_schedule::will_exceed_staleness(const run_entry& run,
                                          steady_time now) const {
    const auto is_stale = [&](weight_version newest) {
        return newest > run.version + options_.staleness_bound;
    };
    if (is_stale(forecast_.newest())) {
        return true;
    }
    // A new run on the same weights would become just as stale.
    if (options_.idle_weight >= 1 || run.version >= forecast_.newest()) {
        return false;
    }
    // The more idle time weighs, the more certain the prediction must be.
    const auto shortest = std::chrono::duration_cast<steady_time::duration>(
        remaining_time(run, now) * (1 - options_.idle_weight));
    return is_stale(forecast_.newest() +
                    forecast_.versions_until(now + shortest, now));
}

std::optional<straggler_kind> step_schedule::choose_action(const run_entry& run,
                                                           steady_time now) {
    if (will_exceed_staleness(run, now)) {
        return straggler_kind::restart;
    }
    if (run.is_hedged) {
        return std::nullopt;
    }
    const duration_seconds time_without_tokens = now - run.last_token_at;
    const auto budget = static_cast<std::uint32_t>(
        std::ceil(options_.hedge_budget * static_cast<double>(slots_.size())));
    if (time_without_tokens >= stall_time && hedges_ < budget) {
        return straggler_kind::hedge;
    }
    const duration_seconds age = now - run.pace_start;
    if (!run.has_progress || age < min_pace_age ||
        time_without_tokens >= stall_time ||
        entry(run.key.slot).moves >= max_moves) {
        return std::nullopt;
    }
    const double pace = (run.tokens - run.first_tokens) / age.count();
    const double limit =
        waiting_.empty() ? slow_tail_pace_ratio : slow_pace_ratio;
    const duration_seconds remaining = remaining_time(run, now);
    const bool is_slow = pace < limit * typical_pace_;
    if (is_slow && remaining * (1 - pace / typical_pace_) >= min_time_saved) {
        return straggler_kind::resume_elsewhere;
    }
    return std::nullopt;
}

std::vector<straggler_action> step_schedule::review(steady_time now) {
    update_typical_pace(now);
    std::vector<straggler_action> actions;
    for (run_entry& run : runs_) {
        const auto kind = choose_action(run, now);
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
