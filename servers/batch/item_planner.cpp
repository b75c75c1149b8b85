#include "servers/batch/item_planner.hpp"

#include "core/utf8.hpp"
#include "servers/batch/item_ranking.hpp"

#include <algorithm>
#include <iterator>

namespace savorydock {

item_planner::item_planner(item_planner_options options,
                           run_ticket first_ticket, loading_check is_loading)
    : options_(options)
    , roster_(options.engines, std::move(is_loading))
    , probation_(options.probation)
    , rooms_(options.rooms)
    , job_order_(options.order)
    , next_ticket_(first_ticket) {}

void item_planner::on_term(bool is_held) {
    has_term_ = is_held;
    for (auto& [id, job] : jobs_) {
        job.is_confirmed = false;
        job.is_committing = false;
    }
}

void item_planner::drop_all(planner_commands& out) {
    for (const auto& [ticket, run] : runs_) {
        out.emplace_back(stop_run{.ticket = ticket});
    }
    for (const auto& [ticket, scoring] : scorings_) {
        out.emplace_back(stop_run{.ticket = ticket, .is_scoring = true});
    }
    has_term_ = false;
    runs_.clear();
    scorings_.clear();
    to_score_.clear();
    unsaved_failures_.clear();
    jobs_.clear();
    held_runs_.clear();
    roster_.clear_runs();
    probation_.clear();
    rooms_.clear();
}

void item_planner::on_job(const job_record& record,
                          std::shared_ptr<const batch_job> job,
                          const job_settings& settings,
                          const std::vector<item_id>& listed,
                          const std::map<std::size_t, item_progress>& saved,
                          steady_time accepted_at, steady_time now,
                          planner_commands& out) {
    if (ended_jobs_.contains(record.id)) {
        return;
    }
    auto [position, is_new] = jobs_.try_emplace(record.id);
    job_state& state = position->second;
    if (is_new) {
        state.record = record;
        state.submission = std::move(job);
        state.settings = settings;
        state.accepted_at = accepted_at;
        add_items(state);
        job_order_.forget(record.id);
        for (const auto& [item, progress] : saved) {
            if (item < state.items.size() && is_reusable(progress, state) &&
                !is_oversized(state.submission->items[item], progress)) {
                state.items[item].progress = progress;
            }
        }
    }
    if (is_new) {
        reuse_retained_texts(state);
        update_probation(state);
    }
    // Results that another planner listed in the meantime are kept. The other
    // ready results of this planner are appended after them.
    const std::set<item_id> listed_items(listed.begin(), listed.end());
    for (std::size_t item = 0; item < state.items.size(); ++item) {
        if (!listed_items.contains(state.submission->items[item].id)) {
            continue;
        }
        erase_waiting(state, item);
        std::erase(state.ready, item);
        if (state.items[item].phase == item_phase::running) {
            for (const auto& [ticket, run] : runs_) {
                if (run.job == record.id && run.item == item) {
                    out.emplace_back(stop_run{.ticket = ticket});
                }
            }
        }
        count_finished_item(state, item);
        state.items[item].phase = item_phase::listed;
    }
    for (const std::size_t item : state.in_commit) {
        if (state.items[item].phase != item_phase::listed) {
            state.ready.push_back(item);
        }
    }
    state.in_commit.clear();
    state.is_committing = false;
    state.next_position = listed.size();
    state.is_confirmed = true;
    adopt_held_runs(record.id, state, now, out);
}

bool item_planner::append_delta(item_progress& progress,
                                const run_delta& delta) {
    if (delta.events <= progress.events) {
        return true;
    }
    // Instances of the previous build report any bytes.
    if (delta.base_events != progress.events || !is_utf8(delta.text)) {
        return false;
    }
    progress.text += progress.events == 0 ? "" : "\n";
    progress.text += delta.text;
    progress.events = delta.events;
    for (const weight_version version : delta.versions) {
        if (progress.versions.empty() || progress.versions.back() != version) {
            progress.versions.push_back(version);
        }
    }
    return true;
}

bool item_planner::is_reusable(const item_progress& progress,
                               const job_state& job) {
    const bool has_origin =
        progress.events == 0 || !progress.origin.software.is_empty();
    return has_origin && has_allowed_versions(progress, job);
}

bool item_planner::has_allowed_versions(const item_progress& progress,
                                        const job_state& job) {
    const auto& versions = progress.versions;
    const bool is_allowed =
        std::all_of(versions.begin(), versions.end(), [&](auto version) {
            return version >= job.submission->min_version;
        });
    return is_allowed && !job.settings.is_single_version;
}

void item_planner::add_items(job_state& job) {
    const std::vector<ranked_item> ranked = rank_items(*job.submission);
    job.items.resize(ranked.size());
    for (std::size_t at = 0; at < ranked.size(); ++at) {
        item_state& item = job.items[at];
        item.prompt_tokens = ranked[at].prompt_tokens;
        item.expected_tokens = ranked[at].expected_tokens;
        item.rank = ranked[at].rank;
        insert_waiting(job, at);
        ++job.open_items[job.submission->items[at].group];
    }
}

void item_planner::count_finished_item(job_state& job, std::size_t item) {
    const item_phase phase = job.items[item].phase;
    if (phase == item_phase::ready || phase == item_phase::listed) {
        return;
    }
    const std::string& group = job.submission->items[item].group;
    // An item without a group counts as a complete group of its own.
    if (--job.open_items[group] == 0 || group.empty()) {
        job.has_complete_group = true;
    }
}

void item_planner::on_job_ended(const job_id& job, planner_commands& out) {
    if (ended_jobs_.insert(job).second) {
        ended_jobs_order_.push_back(job);
    }
    if (ended_jobs_order_.size() > options_.max_ended_jobs) {
        ended_jobs_.erase(ended_jobs_order_.front());
        ended_jobs_order_.pop_front();
    }
    if (const auto held = held_runs_.find(job); held != held_runs_.end()) {
        for (const held_run& one : held->second) {
            if (!one.has_ended) {
                out.emplace_back(stop_run{.ticket = one.ticket});
            }
        }
        held_runs_.erase(held);
    }
    remove_job(job, out);
}

void item_planner::remove_job(const job_id& job, planner_commands& out) {
    const auto found = jobs_.find(job);
    if (found == jobs_.end()) {
        return;
    }
    for (auto at = runs_.begin(); at != runs_.end();) {
        run_state& run = at->second;
        if (run.job != job) {
            ++at;
            continue;
        }
        out.emplace_back(stop_run{.ticket = at->first});
        found->second.items[run.item].progress = std::move(run.progress);
        roster_.release(run.upstream, run.model, run.cache_tokens);
        at = runs_.erase(at);
    }
    std::erase_if(scorings_, [&](const auto& row) {
        if (row.second.job != job) {
            return false;
        }
        out.emplace_back(stop_run{.ticket = row.first, .is_scoring = true});
        return true;
    });
    std::erase_if(to_score_,
                  [&](const auto& entry) { return entry.first == job; });
    retain_texts(found->second);
    probation_.forget(job);
    rooms_.forget(job);
    roster_.cancel_reservations(job);
    jobs_.erase(found);
}

void item_planner::on_upstreams(const std::vector<upstream_entry>& upstreams,
                                const engine_settings& settings,
                                steady_time now) {
    engine_settings_ = settings;
    roster_.set_limit_fraction(settings.limit_fraction);
    const bool has_started =
        roster_.set_upstreams(upstreams, settings.cache_tokens, now);
    if (has_started) {
        probation_.on_engine_started(now);
        next_probe_search_ = now;
    }
    if (probation_.set_engines(roster_.usable_engines(),
                               settings.cache_tokens)) {
        for (auto& [id, job] : jobs_) {
            update_probation(job);
        }
    }
}

void item_planner::record_speed(const run_state& run, std::uint64_t events,
                                steady_time now) {
    // The time of the first events is not recorded: it includes the wait for a
    // slot and the processing of the prompt.
    if (events > run.progress.events &&
        run.progress.events > run.initial_events) {
        roster_.record_speed(run.upstream, events - run.progress.events,
                             now - run.last_event_at, now);
    }
}

void item_planner::on_run_delta(run_delta delta, steady_time now,
                                planner_commands& out) {
    const auto found = runs_.find(delta.ticket);
    if (found == runs_.end() || delta.events <= delta.base_events) {
        return;
    }
    run_state& run = found->second;
    record_speed(run, delta.events, now);
    run.last_event_at = now;
    const bool is_contiguous = append_delta(run.progress, delta);
    if (run.progress.events > run.initial_events) {
        record_acceptance(run, now);
    }
    const auto owner = jobs_.find(run.job);
    if (owner != jobs_.end() &&
        is_oversized(owner->second.submission->items[run.item], run.progress)) {
        run.is_oversized = true;
        run.progress = {.origin = run.progress.origin};
    }
    if ((!is_contiguous || run.is_oversized) && !run.is_stopping) {
        // If a report between instances was lost, another run resumes after the
        // text that is known here.
        run.is_stopping = true;
        out.emplace_back(stop_run{.ticket = delta.ticket});
    }
}

bool item_planner::is_oversized(const batch_item& item,
                                const item_progress& progress) const {
    // An event has at least one token.
    const bool has_too_many_events =
        item.max_tokens > 0 && progress.events > item.max_tokens;
    return has_too_many_events ||
           progress.text.size() > options_.max_text_bytes;
}

void item_planner::requeue(job_state& job, std::size_t item) {
    job.items[item].phase = item_phase::waiting;
    insert_waiting(job, item);
}

void item_planner::finish_text(job_state& job, std::size_t item,
                               item_progress progress) {
    job.items[item].progress = std::move(progress);
    job.items[item].is_text_complete = true;
    if (!job.submission->items[item].scoring) {
        make_ready(job, item);
        return;
    }
    job.items[item].phase = item_phase::to_score;
    to_score_.emplace_back(job.record.id, item);
}

void item_planner::make_ready(job_state& job, std::size_t item) {
    count_finished_item(job, item);
    job.items[item].phase = item_phase::ready;
    job.ready.push_back(item);
}

void item_planner::on_run_ended(run_report report, steady_time now) {
    const auto found = runs_.find(report.ticket);
    if (found == runs_.end()) {
        return;
    }
    run_state run = std::move(found->second);
    runs_.erase(found);
    const bool is_contiguous = append_delta(run.progress, report.last_delta);
    if (!is_contiguous && report.end == run_end::complete) {
        report.end = run_end::interrupted;
    }
    roster_.release(run.upstream, run.model, run.cache_tokens);
    const auto owner = jobs_.find(run.job);
    if (owner == jobs_.end()) {
        return;
    }
    if (has_begun(run, report.end)) {
        record_acceptance(run, now);
    } else if (report.end != run_end::not_run) {
        probation_.on_probe_ended({run.job, run.item}, false, now);
    }
    job_state& job = owner->second;
    item_state& item = job.items[run.item];
    const bool is_too_long =
        report.end == run_end::oversized || run.is_oversized ||
        is_oversized(job.submission->items[run.item], run.progress);
    if (is_too_long) {
        report.end = run_end::oversized;
        item.avoid.insert(run.upstream);
    }
    if (is_too_long || (report.end == run_end::wrong_version &&
                        job.settings.is_single_version)) {
        run.progress = {};
    }
    if (item.phase != item_phase::running) {
        return;
    }
    if (report.end == run_end::complete) {
        roster_.on_success(run.upstream);
        item.unreleased_tickets.push_back(report.ticket);
        finish_text(job, run.item, std::move(run.progress));
        return;
    }
    if (report.end == run_end::invalid_item) {
        give_up(job, run.item);
        return;
    }
    item.progress = std::move(run.progress);
    if (report.end == run_end::failed) {
        ++item.failures;
        item.avoid.insert(run.upstream);
        unsaved_failures_.emplace(run.job, run.item);
        if (item.failures >= job.settings.max_attempts) {
            give_up(job, run.item);
            return;
        }
    } else if (report.end == run_end::not_run) {
        record_refusal(job, run, now);
    } else if (report.end != run_end::stopped) {
        roster_.pause_engine(run.upstream, now);
    }
    requeue(job, run.item);
}

void item_planner::give_up(job_state& job, std::size_t item) {
    job.items[item].is_given_up = true;
    make_ready(job, item);
}

void item_planner::give_up_expired(steady_time now) {
    if (!has_term_) {
        return;
    }
    for (auto& [id, job] : jobs_) {
        if (job.settings.time_to_live.count() == 0 ||
            now < job.accepted_at + job.settings.time_to_live) {
            continue;
        }
        std::vector<std::size_t> expired;
        for (const auto* const queue : {&job.waiting, &job.on_probation}) {
            for (const auto& [rank, item] : *queue) {
                expired.push_back(item);
            }
        }
        for (const std::size_t item : expired) {
            erase_waiting(job, item);
            give_up(job, item);
        }
    }
}

void item_planner::advance(steady_time now, planner_commands& out) {
    std::move(refusals_.begin(), refusals_.end(), std::back_inserter(out));
    refusals_.clear();
    give_up_expired(now);
    place_items(now, out);
    if (has_term_ && is_starting_ && now >= next_check_) {
        next_check_ = now + options_.check_period;
        roster_.update_typical_speed(now);
        drop_old_lost_runs(now);
        stop_stalled(now, out);
        move_stragglers(now, out);
    }
    score_items(out);
    commit_ready(now, out);
    save_failures(out);
    save_texts(now, out);
    report_probation(out);
}

std::optional<steady_time> item_planner::next_wakeup() const {
    std::optional<steady_time> next;
    const auto consider = [&](steady_time at) {
        next = next ? std::min(*next, at) : at;
    };
    bool has_waiting = false;
    for (const auto& [id, job] : jobs_) {
        if (!job.ready.empty() && !job.is_committing && has_term_) {
            consider(commit_due(job));
        }
        if (!job.waiting.empty() || !job.on_probation.empty()) {
            has_waiting = true;
            if (job.settings.time_to_live.count() > 0) {
                consider(job.accepted_at + job.settings.time_to_live);
            }
        }
    }
    if (has_term_ && is_starting_ && (has_waiting || !runs_.empty())) {
        consider(std::max(next_check_, adoption_deadline_));
    }
    return next;
}

bool item_planner::has_job(const job_id& job) const {
    return jobs_.contains(job);
}

std::vector<job_id> item_planner::jobs() const {
    std::vector<job_id> ids;
    for (const auto& [id, job] : jobs_) {
        ids.push_back(id);
    }
    return ids;
}

weight_version
item_planner::min_allowed_version(const std::string& model) const {
    weight_version oldest_allowed = 0;
    for (const auto& [id, job] : jobs_) {
        if (job.submission->model == model) {
            oldest_allowed =
                std::max(oldest_allowed, job.submission->min_version);
        }
    }
    return oldest_allowed;
}

bool item_planner::has_waiting(const std::string& model) const {
    return std::any_of(jobs_.begin(), jobs_.end(), [&](const auto& row) {
        return row.second.submission->model == model &&
               !row.second.waiting.empty();
    });
}

std::size_t item_planner::waiting_items() const {
    std::size_t count = 0;
    for (const auto& [id, job] : jobs_) {
        count += job.waiting.size() + job.on_probation.size();
    }
    return count;
}

} // namespace savorydock
