#include "servers/batch/item_planner.hpp"
#include "servers/batch/job_demand.hpp"

#include <algorithm>
#include <tuple>

namespace savorydock {

item_size item_planner::size_of(const job_state& job, std::size_t item) const {
    const batch_item& source = job.submission->items[item];
    const item_state& state = job.items[item];
    return {.expected = expected_cache_tokens(state, state.progress),
            .claimed = source.prompt_tokens + source.max_tokens};
}

void item_planner::insert_waiting(job_state& job, std::size_t item) {
    const bool is_on_probation =
        probation_.is_on_probation({job.record.id, item}, size_of(job, item));
    (is_on_probation ? job.on_probation : job.waiting)
        .insert({job.items[item].rank, item});
}

void item_planner::erase_waiting(job_state& job, std::size_t item) {
    job.waiting.erase({job.items[item].rank, item});
    job.on_probation.erase({job.items[item].rank, item});
    const item_key key{job.record.id, item};
    rooms_.on_left(key);
    roster_.cancel_reservation(key);
}

void item_planner::update_probation(job_state& job) {
    std::set<std::pair<std::size_t, std::size_t>> all;
    all.swap(job.waiting);
    all.merge(job.on_probation);
    job.on_probation.clear();
    for (const auto& [rank, item] : all) {
        insert_waiting(job, item);
    }
}

bool item_planner::has_begun(const run_state& run, run_end end) {
    switch (end) {
    case run_end::complete:
    case run_end::failed:
    case run_end::invalid_item:
    case run_end::wrong_version:
    case run_end::oversized:
        return true;
    case run_end::interrupted:
    case run_end::not_run:
    case run_end::stopped:
    case run_end::unavailable:
        break;
    }
    return run.progress.events > run.initial_events;
}

void item_planner::record_acceptance(run_state& run, steady_time now) {
    const auto owner = jobs_.find(run.job);
    if (run.is_accepted || owner == jobs_.end()) {
        return;
    }
    run.is_accepted = true;
    const item_key item{run.job, run.item};
    roster_.on_accepted(run.upstream);
    probation_.on_probe_ended(item, true, now);
    if (probation_.on_accepted(item, size_of(owner->second, run.item))) {
        for (auto& [id, job] : jobs_) {
            update_probation(job);
        }
    }
}

void item_planner::record_refusal(job_state& job, const run_state& run,
                                  steady_time now) {
    item_refusal refusal{.job = run.job,
                         .item = job.submission->items[run.item].id,
                         .upstream = run.upstream,
                         .cache_tokens = run.cache_tokens,
                         .capacity = engine_settings_.cache_tokens};
    if (const roster_entry* const engine = roster_.find(run.upstream)) {
        refusal.other_runs = engine->running;
        refusal.other_cache_tokens = engine->cache_tokens;
    }
    const item_key item{run.job, run.item};
    const bool was_on_probation = probation_.is_job_on_probation(run.job);
    const refusal_cause cause =
        probation_.on_refused(item, size_of(job, run.item), run.upstream);
    probation_.on_probe_ended(item, false, now);
    if (cause != refusal_cause::item) {
        refusal.engine_pause = roster_.pause_refusing_engine(
            run.upstream, run.job, run.cache_tokens, cause, now);
    } else {
        roster_.on_probe_refused(run.upstream, now);
    }
    refusal.item_refusals = probation_.refusals_of(item);
    refusal.is_job_on_probation = probation_.is_job_on_probation(run.job);
    if (refusal.is_job_on_probation != was_on_probation) {
        update_probation(job);
    }
    refusals_.push_back(std::move(refusal));
}

void item_planner::report_probation(planner_commands& out) {
    for (auto& [id, job] : jobs_) {
        const bool has_any = !job.on_probation.empty();
        if (has_any != job.is_probation_reported) {
            job.is_probation_reported = has_any;
            out.emplace_back(
                probation_change{.job = id,
                                 .on_probation = job.on_probation.size(),
                                 .waiting = job.waiting.size(),
                                 .capacity = engine_settings_.cache_tokens});
        }
    }
}

std::optional<std::size_t>
item_planner::next_to_probe(const job_state& job) const {
    std::optional<std::size_t> chosen;
    std::uint32_t least = 0;
    for (const auto& [rank, item] : job.on_probation) {
        const std::uint32_t refusals =
            probation_.refusals_of({job.record.id, item});
        // Of the first and the last item in turn: neighbours in rank are of
        // similar size, so one that fits is found sooner.
        const bool is_next =
            refusals < least || (probes_last_ && refusals == least);
        if (!chosen || is_next) {
            chosen = item;
            least = refusals;
        }
        if (least == 0 && !probes_last_) {
            break;
        }
    }
    return chosen;
}

void item_planner::place_probe(const std::vector<job_state*>& jobs,
                               const std::vector<open_job>& open_jobs,
                               steady_time now, planner_commands& out) {
    if (!probation_.may_probe(now) || now < next_probe_search_) {
        return;
    }
    struct candidate {
        std::uint32_t refusals = 0;
        std::uint32_t priority = 0;
        steady_time due;
        job_state* job = nullptr;
        std::size_t item = 0;
    };
    std::vector<candidate> candidates;
    for (std::size_t at = 0; at < jobs.size(); ++at) {
        const auto item = next_to_probe(*jobs[at]);
        if (item) {
            candidates.push_back({.refusals = probation_.refusals_of(
                                      {jobs[at]->record.id, *item}),
                                  .priority = open_jobs[at].priority,
                                  .due = open_jobs[at].due,
                                  .job = jobs[at],
                                  .item = *item});
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& left, const candidate& right) {
                  return std::tie(left.refusals, left.priority, left.due) <
                         std::tie(right.refusals, right.priority, right.due);
              });
    for (const candidate& one : candidates) {
        if (place_item(*one.job, one.item, true, now, out)) {
            probation_.on_probe_started({one.job->record.id, one.item});
            probes_last_ = !probes_last_;
            return;
        }
    }
    next_probe_search_ = now + options_.check_period;
}

void item_planner::place_reserved(const std::vector<job_state*>& jobs,
                                  job_round& round, steady_time now,
                                  planner_commands& out) {
    const std::map<item_key, upstream_id> reservations = roster_.reservations();
    for (const auto& [item, engine] : reservations) {
        const auto job = std::find_if(jobs.begin(), jobs.end(),
                                      [&item = item](const job_state* one) {
                                          return one->record.id == item.first;
                                      });
        if (job == jobs.end()) {
            continue;
        }
        const item_progress& text = (*job)->items[item.second].progress;
        const std::uint64_t tokens = estimated_tokens_left(
            (*job)->submission->items[item.second], generated_tokens(text));
        if (place_item(**job, item.second, false, now, out)) {
            round.on_placed(static_cast<std::size_t>(job - jobs.begin()),
                            tokens);
        }
    }
}

std::map<upstream_id, std::uint64_t>
item_planner::tokens_left_by_engine() const {
    std::map<upstream_id, std::uint64_t> longest;
    for (const auto& [ticket, run] : runs_) {
        const auto job = jobs_.find(run.job);
        if (job == jobs_.end()) {
            continue;
        }
        std::uint64_t& left = longest[run.upstream];
        left = std::max(
            left, estimated_tokens_left(job->second.submission->items[run.item],
                                        generated_tokens(run.progress)));
    }
    return longest;
}

void item_planner::reserve_engines(steady_time now, planner_commands& out) {
    for (const item_key& item : roster_.drop_old_reservations(now)) {
        rooms_.on_expired(item, now);
    }
    if (!rooms_.has_candidates()) {
        return;
    }
    const auto running = static_cast<std::size_t>(
        std::count_if(runs_.begin(), runs_.end(), [](const auto& row) {
            return row.second.had_reservation;
        }));
    const std::vector<item_key> chosen = rooms_.choose(
        roster_.usable_engines(), roster_.reservations().size() + running, now);
    if (chosen.empty()) {
        return;
    }
    const std::map<upstream_id, std::uint64_t> left = tokens_left_by_engine();
    const auto left_on = [&left](const upstream_id& engine) {
        const auto found = left.find(engine);
        return found == left.end() ? 0 : found->second;
    };
    for (const item_key& item : chosen) {
        const job_state& job = jobs_.at(item.first);
        const engine_requirements requirements =
            requirements_of(job, item, job.items[item.second].progress);
        const std::vector<upstream_id> engines =
            roster_.reservable(requirements, now);
        const auto soonest = std::min_element(
            engines.begin(), engines.end(),
            [&](const upstream_id& one, const upstream_id& other) {
                return left_on(one) < left_on(other);
            });
        if (soonest == engines.end()) {
            continue;
        }
        roster_.reserve(*soonest, {.item = item, .since = now});
        out.emplace_back(
            reserve_engine{.job = item.first,
                           .item = job.submission->items[item.second].id,
                           .upstream = *soonest,
                           .cache_tokens = requirements.cache_tokens});
    }
}

} // namespace savorydock
