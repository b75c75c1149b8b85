#include "servers/batch/item_planner.hpp"
#include "servers/batch/item_ranking.hpp"
#include "servers/batch/job_demand.hpp"

#include <algorithm>

namespace savorydock {

bool item_planner::may_place_items(steady_time now) const {
    return has_term_ && is_starting_ && is_fleet_data_current_ &&
           now >= adoption_deadline_;
}

std::uint64_t
item_planner::generated_tokens(const item_progress& progress) const {
    return progress.events * engine_settings_.tokens_per_event;
}

std::vector<std::uint64_t>
item_planner::tokens_left_of(const job_state& job) const {
    const std::vector<batch_item>& items = job.submission->items;
    std::vector<std::uint64_t> left(job.items.size(), 0);
    for (std::size_t at = 0; at < left.size(); ++at) {
        if (job.items[at].phase == item_phase::waiting) {
            left[at] = estimated_tokens_left(
                items[at], generated_tokens(job.items[at].progress));
        }
    }
    for (const auto& [ticket, run] : runs_) {
        if (run.job == job.record.id) {
            left[run.item] = estimated_tokens_left(
                items[run.item], generated_tokens(run.progress));
        }
    }
    return left;
}

void item_planner::rank_again(job_state& job, job_standing standing) {
    const std::vector<std::size_t> ranks =
        standing == job_standing::in_time
            ? item_ranks(*job.submission)
            : item_ranks_by_group(*job.submission, tokens_left_of(job));
    for (std::size_t at = 0; at < ranks.size(); ++at) {
        job.items[at].rank = ranks[at];
    }
    job.waiting.clear();
    job.on_probation.clear();
    for (std::size_t at = 0; at < ranks.size(); ++at) {
        if (job.items[at].phase == item_phase::waiting) {
            insert_waiting(job, at);
        }
    }
}

void item_planner::refresh_job_order(const std::vector<job_state*>& jobs,
                                     const std::vector<open_job>& open_jobs,
                                     steady_time now, planner_commands& out) {
    if (!job_order_.needs_refresh(open_jobs, now)) {
        return;
    }
    std::vector<job_demand> demands;
    demands.reserve(jobs.size());
    for (const job_state* const job : jobs) {
        demands.push_back(demand_of(*job->submission, tokens_left_of(*job)));
    }
    const service_speed speed =
        roster_.speed(engine_settings_.tokens_per_event);
    for (order_change& change :
         job_order_.refresh(open_jobs, demands, speed, now)) {
        if (const auto job = jobs_.find(change.job); job != jobs_.end()) {
            rank_again(job->second, change.standing);
        }
        out.emplace_back(std::move(change));
    }
}

std::uint64_t
item_planner::expected_cache_tokens(const item_state& item,
                                    const item_progress& text) const {
    return item.prompt_tokens +
           std::max(item.expected_tokens, generated_tokens(text));
}

engine_requirements
item_planner::requirements_of(const job_state& job, const item_key& key,
                              const item_progress& text) const {
    const item_state& item = job.items[key.second];
    return {.model = job.submission->model,
            .min_version = job.submission->min_version,
            .cache_tokens = expected_cache_tokens(item, text),
            .avoid = item.avoid,
            .software = text.events == 0 ? nullptr : &text.origin.software,
            .item = &key};
}

const roster_entry* item_planner::choose_engine(const job_state& job,
                                                std::size_t item,
                                                const item_progress& text,
                                                bool is_probe,
                                                steady_time now) const {
    const item_key key{job.record.id, item};
    engine_requirements requirements = requirements_of(job, key, text);
    requirements.is_probe = is_probe;
    return roster_.choose(requirements, now);
}

void item_planner::start(job_state& job, std::size_t index,
                         const roster_entry& engine, steady_time now,
                         planner_commands& out) {
    item_state& item = job.items[index];
    const run_ticket ticket = next_ticket_++;
    const std::uint64_t needed_cache_tokens =
        expected_cache_tokens(item, item.progress);
    const bool had_reservation =
        roster_.cancel_reservation({job.record.id, index});
    erase_waiting(job, index);
    rooms_.on_placed(needed_cache_tokens, now);
    item.phase = item_phase::running;
    roster_.occupy(engine.listed_upstream.id, job.submission->model,
                   needed_cache_tokens);
    roster_.count_request(engine.listed_upstream.id, now);
    runs_[ticket] = {.job = job.record.id,
                     .item = index,
                     .upstream = engine.listed_upstream.id,
                     .model = job.submission->model,
                     .cache_tokens = needed_cache_tokens,
                     .progress = std::move(item.progress),
                     .last_event_at = now,
                     .had_reservation = had_reservation};
    run_state& run = runs_[ticket];
    run.initial_events = run.progress.events;
    if (run.progress.events == 0) {
        run.progress.origin = {.software = engine.listed_upstream.software,
                               .first_run = ticket};
    }
    item.progress = {};
    item.discard_text_at.reset();
    out.emplace_back(
        start_run{.ticket = ticket,
                  .job = job.submission,
                  .item = index,
                  .upstream = engine.listed_upstream.id,
                  .address = engine.listed_upstream.address,
                  .min_version = job.submission->min_version,
                  .is_single_version = job.settings.is_single_version,
                  .progress = run.progress,
                  .max_events = job.submission->items[index].max_tokens});
}

void item_planner::place_items(steady_time now, planner_commands& out) {
    if (!may_place_items(now)) {
        return;
    }
    std::vector<job_state*> jobs;
    std::vector<open_job> open_jobs;
    for (auto& [id, job] : jobs_) {
        if (job.is_confirmed) {
            jobs.push_back(&job);
            open_jobs.push_back(
                {.record = &job.record,
                 .priority = job.settings.priority,
                 .due = job.accepted_at + job.settings.target,
                 .has_organisations = job.settings.has_organisations});
        }
    }
    refresh_job_order(jobs, open_jobs, now, out);
    if (probation_.is_probe_urgent(now)) {
        place_probe(jobs, open_jobs, now, out);
    }
    rooms_.begin_round();
    job_round round = job_order_.begin_round(open_jobs);
    place_reserved(jobs, round, now, out);
    std::vector<round_position> positions;
    positions.reserve(jobs.size());
    for (job_state* const job : jobs) {
        positions.push_back({.next = job->waiting.begin()});
    }
    while (const auto at = round.next()) {
        const auto tokens = place_next(*jobs[*at], positions[*at], now, out);
        if (tokens) {
            round.on_placed(*at, *tokens);
        } else {
            round.on_exhausted(*at);
        }
    }
    reserve_engines(now, out);
    place_probe(jobs, open_jobs, now, out);
}

std::optional<std::uint64_t> item_planner::place_next(job_state& job,
                                                      round_position& position,
                                                      steady_time now,
                                                      planner_commands& out) {
    // Placing an item removes it from the waiting ones.
    while (position.next != job.waiting.end()) {
        const std::size_t index = (position.next++)->second;
        const item_key key{job.record.id, index};
        const item_progress& progress = job.items[index].progress;
        const bool is_tied = progress.events > 0;
        const std::uint64_t needed =
            expected_cache_tokens(job.items[index], progress);
        if (needed > position.largest_room ||
            roster_.reservations().contains(key)) {
            continue;
        }
        const std::uint64_t tokens = estimated_tokens_left(
            job.submission->items[index], generated_tokens(progress));
        if (place_item(job, index, false, now, out)) {
            return tokens;
        }
        bool& is_reported = is_tied ? position.has_tied_without_room
                                    : position.has_without_room;
        if (is_tied && is_reported) {
            continue;
        }
        const auto room =
            roster_.largest_room(requirements_of(job, key, progress), now);
        if (room && *room < needed && !is_reported) {
            is_reported = true;
            rooms_.on_no_room(key, needed);
        }
        // An item that waits for certain engines doesn't hold up others.
        if (is_tied) {
            continue;
        }
        if (!room || *room >= needed) {
            break;
        }
        position.largest_room = *room;
    }
    return std::nullopt;
}

bool item_planner::place_item(job_state& job, std::size_t index, bool is_probe,
                              steady_time now, planner_commands& out) {
    item_state& item = job.items[index];
    const roster_entry* engine =
        choose_engine(job, index, item.progress, is_probe, now);
    if (engine == nullptr && item.progress.events > 0 &&
        is_text_hopeless(job, index, now)) {
        out.emplace_back(discard_text{.job = job.record.id,
                                      .item = job.submission->items[index].id,
                                      .origin = item.progress.origin,
                                      .events = item.progress.events});
        item.progress = {};
        item.discard_text_at.reset();
        engine = choose_engine(job, index, item.progress, is_probe, now);
    }
    if (engine == nullptr) {
        return false;
    }
    start(job, index, *engine, now, out);
    return true;
}

bool item_planner::is_text_hopeless(job_state& job, std::size_t index,
                                    steady_time now) const {
    item_state& item = job.items[index];
    if (!roster_.has_software(item.progress.origin.software)) {
        return true;
    }
    // Waits only if an engine could start the item anew meanwhile.
    if (choose_engine(job, index, {}, false, now) == nullptr) {
        return false;
    }
    if (!item.discard_text_at) {
        const std::chrono::duration<double, std::milli> regeneration(
            static_cast<double>(item.progress.events) *
            roster_.typical_event_milliseconds());
        item.discard_text_at =
            now +
            std::chrono::duration_cast<steady_time::duration>(regeneration);
    }
    return now >= *item.discard_text_at;
}

bool item_planner::is_stalled(const run_state& run, steady_time now) const {
    const auto silence = now - run.last_event_at;
    const roster_entry* const engine = roster_.find(run.upstream);
    const double event_milliseconds =
        engine == nullptr ? 0 : engine->event_milliseconds;
    return silence >= options_.stall_timeout &&
           std::chrono::duration<double, std::milli>(silence).count() >=
               options_.stall_events * event_milliseconds;
}

void item_planner::stop_stalled(steady_time now, planner_commands& out) {
    for (auto& [ticket, run] : runs_) {
        if (!jobs_.contains(run.job) || run.is_stopping ||
            !is_stalled(run, now)) {
            continue;
        }
        if (roster_.is_loading(run.upstream, run.model, now)) {
            run.last_event_at = now;
            continue;
        }
        run.is_stopping = true;
        roster_.pause_engine(run.upstream, now);
        out.emplace_back(stop_run{
            .ticket = ticket, .is_stalled = true, .upstream = run.upstream});
    }
}

void item_planner::on_loading(const upstream_id& upstream,
                              const std::string& model, steady_time now,
                              planner_commands& out) {
    if (!may_place_items(now)) {
        return;
    }
    for (auto& [ticket, run] : runs_) {
        const auto owner = jobs_.find(run.job);
        if (run.upstream != upstream || run.model != model || run.is_stopping ||
            owner == jobs_.end() ||
            choose_engine(owner->second, run.item, run.progress, false, now) ==
                nullptr) {
            continue;
        }
        run.is_stopping = true;
        out.emplace_back(stop_run{.ticket = ticket});
    }
}

bool item_planner::is_move_worthwhile(const run_state& run,
                                      const item_state& item,
                                      const roster_entry& current,
                                      const roster_entry& target) const {
    if (current.event_milliseconds <
        options_.move_ratio * target.event_milliseconds) {
        return false;
    }
    // Lengths have a long tail: an item that has exceeded its caller's estimate
    // is assumed to need half as many events again.
    const auto events_done = static_cast<double>(run.progress.events);
    const double events_left = std::max(
        static_cast<double>(item.expected_tokens) /
                static_cast<double>(engine_settings_.tokens_per_event) -
            events_done,
        events_done / 2);
    const double saved =
        events_left * (current.event_milliseconds - target.event_milliseconds);
    return saved >= static_cast<double>(options_.min_time_saved.count());
}

void item_planner::move_stragglers(steady_time now, planner_commands& out) {
    // The best engine with room for each model and software, chosen again after
    // each move.
    std::map<std::pair<std::string, software_version>, const roster_entry*>
        targets;
    std::size_t moves = 0;
    for (auto& [ticket, run] : runs_) {
        const auto owner = jobs_.find(run.job);
        const roster_entry* const current = roster_.find(run.upstream);
        if (owner == jobs_.end() || current == nullptr || run.is_stopping ||
            !owner->second.waiting.empty() ||
            run.progress.events <
                run.initial_events + options_.min_events_before_move ||
            !roster_.is_measured(*current)) {
            continue;
        }
        item_state& item = owner->second.items[run.item];
        if (item.moves >= options_.max_moves) {
            continue;
        }
        const std::pair key(run.model, run.progress.origin.software);
        const auto [known, is_new] = targets.try_emplace(key, nullptr);
        if (is_new) {
            known->second = choose_engine(owner->second, run.item, run.progress,
                                          false, now);
        }
        const roster_entry* const target = known->second;
        if (target == nullptr || !roster_.is_measured(*target) ||
            !is_move_worthwhile(run, item, *current, *target)) {
            continue;
        }
        ++item.moves;
        run.is_stopping = true;
        out.emplace_back(stop_run{.ticket = ticket});
        targets.erase(key);
        if (++moves >= options_.moves_per_round) {
            break;
        }
    }
}

} // namespace savorydock
