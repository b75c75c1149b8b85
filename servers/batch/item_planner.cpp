#include "servers/batch/item_planner.hpp"

#include "core/utf8.hpp"
#include "servers/batch/item_ranking.hpp"
#include "servers/batch/job_demand.hpp"

#include <algorithm>

namespace savorydock {

item_planner::item_planner(item_planner_options options,
                           run_ticket first_ticket, loading_check is_loading)
    : options_(options)
    , roster_(options.engines, std::move(is_loading))
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
        out.emplace_back(stop_run{.ticket = ticket});
    }
    has_term_ = false;
    runs_.clear();
    scorings_.clear();
    to_score_.clear();
    unsaved_failures_.clear();
    jobs_.clear();
    held_runs_.clear();
    roster_.clear_runs();
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
    }
    // Results that another planner listed in the meantime are kept. The other
    // ready results of this planner are appended after them.
    const std::set<item_id> listed_items(listed.begin(), listed.end());
    for (std::size_t item = 0; item < state.items.size(); ++item) {
        if (!listed_items.contains(state.submission->items[item].id)) {
            continue;
        }
        state.waiting.erase({state.items[item].rank, item});
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

void item_planner::begin_adoption(steady_time now) {
    adoption_deadline_ = now + options_.adoption_timeout;
}

void item_planner::end_adoption() {
    adoption_deadline_ = {};
}

bool item_planner::may_place_items(steady_time now) const {
    return has_term_ && is_starting_ && is_fleet_data_current_ &&
           now >= adoption_deadline_;
}

void item_planner::on_held_run(held_run held, steady_time now,
                               planner_commands& out) {
    const job_id id = held.job;
    if (ended_jobs_.contains(id)) {
        if (!held.has_ended) {
            out.emplace_back(stop_run{.ticket = held.ticket});
        }
        return;
    }
    if (update_own_run(held, now)) {
        return;
    }
    held_runs_[id].push_back(std::move(held));
    const auto owner = jobs_.find(id);
    if (owner != jobs_.end() && owner->second.is_confirmed) {
        adopt_held_runs(id, owner->second, now, out);
    }
}

bool item_planner::update_own_run(const held_run& held, steady_time now) {
    if (scorings_.contains(held.ticket)) {
        if (held.has_ended) {
            on_scored({.ticket = held.ticket, .score = held.score});
        }
        return true;
    }
    const auto found = runs_.find(held.ticket);
    if (found == runs_.end()) {
        return false;
    }
    run_state& run = found->second;
    run.last_event_at = now;
    const bool is_valid = is_utf8(held.text);
    if (held.events > run.progress.events && is_valid) {
        run.progress.text = held.text;
        run.progress.events = held.events;
        run.progress.versions = held.versions;
    }
    if (held.has_ended) {
        on_run_ended(
            {.ticket = held.ticket,
             .end = is_valid ? run_end::complete : run_end::interrupted,
             .last_delta = {.ticket = held.ticket}},
            now);
    }
    return true;
}

void item_planner::adopt_held_runs(const job_id& id, job_state& job,
                                   steady_time now, planner_commands& out) {
    const auto found = held_runs_.find(id);
    if (found == held_runs_.end()) {
        return;
    }
    std::vector<held_run> all = std::move(found->second);
    held_runs_.erase(found);
    // Texts before scores, because a score is accepted only for its text.
    std::stable_partition(all.begin(), all.end(),
                          [](const held_run& one) { return !one.is_scoring; });
    std::map<std::string, std::size_t> items;
    for (std::size_t at = 0; at < job.items.size(); ++at) {
        const batch_item& source = job.submission->items[at];
        items[source.id.text()] = at;
        if (source.scoring) {
            items[source.scoring->id] = at;
        }
    }
    for (held_run& one : all) {
        const auto item = items.find(one.id);
        if (item != items.end()) {
            adopt_run(job, item->second, std::move(one), now, out);
        }
    }
}

void item_planner::adopt_run(job_state& job, std::size_t index, held_run held,
                             steady_time now, planner_commands& out) {
    item_state& item = job.items[index];
    if (held.is_scoring) {
        // The item may have run again since, and the texts may differ.
        const bool is_of_this_text =
            std::find(item.unreleased_tickets.begin(),
                      item.unreleased_tickets.end(),
                      held.text_ticket) != item.unreleased_tickets.end();
        if (held.has_ended && is_of_this_text && is_utf8(held.score) &&
            item.phase == item_phase::to_score) {
            std::erase(to_score_, std::pair(job.record.id, index));
            item.score = std::move(held.score);
            item.unreleased_tickets.push_back(held.ticket);
            make_ready(job, index);
        }
        return;
    }
    item_progress progress{.text = std::move(held.text),
                           .events = held.events,
                           .versions = std::move(held.versions),
                           .origin = std::move(held.origin)};
    const bool is_usable = held.has_ended ? has_allowed_versions(progress, job)
                                          : is_reusable(progress, job);
    if (item.phase != item_phase::waiting || !is_usable ||
        !is_utf8(progress.text) ||
        is_oversized(job.submission->items[index], progress)) {
        if (!held.has_ended) {
            out.emplace_back(stop_run{.ticket = held.ticket});
        }
        return;
    }
    lost_runs_.erase(held.ticket);
    job.waiting.erase({item.rank, index});
    if (held.has_ended) {
        item.unreleased_tickets.push_back(held.ticket);
        finish_text(job, index, std::move(progress));
        return;
    }
    const std::uint64_t needed_cache_tokens = expected_cache_tokens(item);
    item.phase = item_phase::running;
    item.progress = {};
    roster_.occupy(held.upstream, job.submission->model, needed_cache_tokens);
    const std::uint64_t events = progress.events;
    runs_[held.ticket] = {.job = job.record.id,
                          .item = index,
                          .upstream = held.upstream,
                          .model = job.submission->model,
                          .cache_tokens = needed_cache_tokens,
                          .progress = std::move(progress),
                          .initial_events = events,
                          .last_event_at = now};
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

void item_planner::reuse_retained_texts(job_state& job) {
    for (std::size_t at = 0; at < job.items.size(); ++at) {
        const auto found = retained_texts_.find(job.submission->items[at].id);
        if (found == retained_texts_.end()) {
            continue;
        }
        retained_text text = std::move(found->second);
        retained_texts_.erase(found);
        item_state& item = job.items[at];
        const bool is_usable = text.is_text_complete
                                   ? has_allowed_versions(text.progress, job)
                                   : is_reusable(text.progress, job);
        if (!is_usable || text.progress.events <= item.progress.events ||
            is_oversized(job.submission->items[at], text.progress)) {
            continue;
        }
        item.progress = std::move(text.progress);
        if (text.is_text_complete) {
            job.waiting.erase({item.rank, at});
            finish_text(job, at, std::move(item.progress));
        }
    }
}

void item_planner::retain_texts(const job_state& job) {
    std::set<std::string> open_groups;
    for (std::size_t at = 0; at < job.items.size(); ++at) {
        if (job.items[at].phase != item_phase::listed) {
            open_groups.insert(job.submission->items[at].group);
        }
    }
    for (std::size_t at = 0; at < job.items.size(); ++at) {
        const item_state& item = job.items[at];
        const batch_item& source = job.submission->items[at];
        if (item.progress.events == 0 || item.is_given_up ||
            !open_groups.contains(source.group)) {
            continue;
        }
        if (retained_texts_.size() >= options_.max_retained_texts) {
            retained_texts_.erase(retained_texts_.begin());
        }
        retained_texts_[source.id] = {.progress = item.progress,
                                      .is_text_complete =
                                          item.is_text_complete};
    }
}

void item_planner::add_items(job_state& job) {
    const std::vector<ranked_item> ranked = rank_items(*job.submission);
    job.items.resize(ranked.size());
    for (std::size_t at = 0; at < ranked.size(); ++at) {
        item_state& item = job.items[at];
        item.prompt_tokens = ranked[at].prompt_tokens;
        item.expected_tokens = ranked[at].expected_tokens;
        item.rank = ranked[at].rank;
        job.waiting.insert({item.rank, at});
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
        out.emplace_back(stop_run{.ticket = row.first});
        return true;
    });
    std::erase_if(to_score_,
                  [&](const auto& entry) { return entry.first == job; });
    retain_texts(found->second);
    jobs_.erase(found);
}

void item_planner::on_upstreams(const std::vector<upstream_entry>& upstreams,
                                const engine_settings& settings,
                                steady_time now) {
    engine_settings_ = settings;
    roster_.set_limit_fraction(settings.limit_fraction);
    roster_.set_upstreams(upstreams, settings.cache_tokens, now);
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
    job.waiting.insert({job.items[item].rank, item});
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
    } else if (report.end != run_end::stopped) {
        roster_.pause_engine(run.upstream, now);
    }
    requeue(job, run.item);
}

void item_planner::give_up(job_state& job, std::size_t item) {
    job.items[item].is_given_up = true;
    make_ready(job, item);
}

void item_planner::on_saved_failures(
    const job_id& id, const std::map<std::size_t, std::uint32_t>& failures) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    job_state& job = found->second;
    for (const auto& [index, count] : failures) {
        if (index >= job.items.size()) {
            continue;
        }
        item_state& item = job.items[index];
        item.failures = std::max(item.failures, count);
        if (item.failures >= job.settings.max_attempts &&
            job.waiting.erase({item.rank, index}) > 0) {
            give_up(job, index);
        }
    }
}

void item_planner::save_failures(planner_commands& out) {
    if (!has_term_) {
        return;
    }
    std::map<job_id, std::vector<saved_progress>> parts;
    for (const auto& [id, index] : unsaved_failures_) {
        const auto job = jobs_.find(id);
        if (job != jobs_.end()) {
            parts[id].push_back(
                {.item = index, .failures = job->second.items[index].failures});
        }
    }
    unsaved_failures_.clear();
    for (auto& [job, list] : parts) {
        out.emplace_back(save_progress{.job = job, .parts = std::move(list)});
    }
}

void item_planner::on_run_lost(run_ticket ticket, steady_time now) {
    if (const auto scoring = scorings_.find(ticket);
        scoring != scorings_.end()) {
        const scoring_state lost = scoring->second;
        scorings_.erase(scoring);
        requeue_scoring(lost);
        return;
    }
    const auto run = runs_.find(ticket);
    if (run == runs_.end()) {
        return;
    }
    if (!run->second.is_stopping) {
        lost_runs_[ticket] = {.run = run->second, .lost_at = now};
    }
    on_run_ended({.ticket = ticket,
                  .end = run_end::stopped,
                  .last_delta = {.ticket = ticket}},
                 now);
}

void item_planner::requeue_scoring(const scoring_state& scoring) {
    const auto owner = jobs_.find(scoring.job);
    if (owner != jobs_.end() &&
        owner->second.items[scoring.item].phase == item_phase::scoring) {
        owner->second.items[scoring.item].phase = item_phase::to_score;
        to_score_.emplace_back(scoring.job, scoring.item);
    }
}

std::optional<run_ticket> item_planner::active_run_of(const job_id& job,
                                                      std::size_t item) const {
    const auto found =
        std::find_if(runs_.begin(), runs_.end(), [&](const auto& row) {
            return row.second.job == job && row.second.item == item;
        });
    return found == runs_.end() ? std::nullopt : std::optional(found->first);
}

void item_planner::on_run_found(const run_delta& delta, bool is_complete,
                                steady_time now, planner_commands& out) {
    const run_ticket ticket = delta.ticket;
    const auto found = lost_runs_.find(ticket);
    if (found == lost_runs_.end()) {
        return;
    }
    run_state run = std::move(found->second.run);
    lost_runs_.erase(found);
    const auto owner = jobs_.find(run.job);
    const auto replacement = active_run_of(run.job, run.item);
    const bool is_ahead =
        is_complete ||
        (replacement && runs_[*replacement].progress.events <= delta.events);
    // Events before the delta may be missing, because reports were lost.
    const bool is_wanted =
        owner != jobs_.end() && delta.base_events <= run.progress.events &&
        (owner->second.items[run.item].phase == item_phase::waiting ||
         (replacement && is_ahead));
    if (!is_wanted) {
        out.emplace_back(stop_run{.ticket = ticket});
        return;
    }
    job_state& job = owner->second;
    item_state& item = job.items[run.item];
    if (replacement) {
        run_state& stopped = runs_[*replacement];
        roster_.release(stopped.upstream, stopped.model, stopped.cache_tokens);
        runs_.erase(*replacement);
        out.emplace_back(stop_run{.ticket = *replacement});
    } else {
        job.waiting.erase({item.rank, run.item});
        item.progress = {};
    }
    item.phase = item_phase::running;
    roster_.occupy(run.upstream, run.model, run.cache_tokens);
    run.last_event_at = now;
    runs_[ticket] = std::move(run);
}

void item_planner::drop_old_lost_runs(steady_time now) {
    std::erase_if(lost_runs_, [&](const auto& row) {
        return now >= row.second.lost_at + options_.lost_run_retention ||
               !jobs_.contains(row.second.run.job);
    });
}

void item_planner::on_scored(score_report report) {
    const auto found = scorings_.find(report.ticket);
    if (found == scorings_.end()) {
        return;
    }
    const scoring_state scoring = found->second;
    scorings_.erase(found);
    if (report.score && !is_utf8(*report.score)) {
        requeue_scoring(scoring);
        return;
    }
    const auto owner = jobs_.find(scoring.job);
    if (owner == jobs_.end()) {
        return;
    }
    item_state& item = owner->second.items[scoring.item];
    if (item.phase == item_phase::scoring) {
        item.is_given_up = !report.score;
        item.score = report.score.value_or("");
        item.unreleased_tickets.push_back(report.ticket);
        make_ready(owner->second, scoring.item);
    }
}

void item_planner::on_committed(const job_id& id, std::uint64_t number,
                                commit_end end, steady_time now,
                                planner_commands& out) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second.is_committing ||
        found->second.commit_number != number) {
        return;
    }
    job_state& job = found->second;
    job.is_committing = false;
    job.last_commit = now;
    if (end == commit_end::superseded || end == commit_end::term_lost) {
        job.is_confirmed = false;
        return;
    }
    if (end == commit_end::not_listed) {
        job.commit_not_before = now + options_.commit_retry_delay;
        job.has_complete_group = true;
        job.ready.insert(job.ready.begin(), job.in_commit.begin(),
                         job.in_commit.end());
        job.in_commit.clear();
        return;
    }
    for (const std::size_t item : job.in_commit) {
        job.items[item].phase = item_phase::listed;
        for (const run_ticket ticket : job.items[item].unreleased_tickets) {
            out.emplace_back(release_run{.ticket = ticket});
        }
        job.items[item].unreleased_tickets.clear();
    }
    job.next_position += job.in_commit.size();
    job.in_commit.clear();
    if (job.next_position >= job.items.size()) {
        jobs_.erase(found);
    }
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
    std::set<std::pair<std::size_t, std::size_t>> waiting;
    for (const auto& [rank, index] : job.waiting) {
        waiting.emplace(ranks[index], index);
    }
    for (std::size_t at = 0; at < ranks.size(); ++at) {
        job.items[at].rank = ranks[at];
    }
    job.waiting = std::move(waiting);
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
item_planner::expected_cache_tokens(const item_state& item) const {
    return item.prompt_tokens + item.expected_tokens;
}

const roster_entry* item_planner::choose_engine(const job_state& job,
                                                const item_state& item,
                                                const item_progress& text,
                                                steady_time now) const {
    const engine_requirements requirements{
        .model = job.submission->model,
        .min_version = job.submission->min_version,
        .cache_tokens = expected_cache_tokens(item),
        .avoid = item.avoid,
        .software = text.events == 0 ? nullptr : &text.origin.software};
    return roster_.choose(requirements, now);
}

void item_planner::start(job_state& job, std::size_t index,
                         const roster_entry& engine, steady_time now,
                         planner_commands& out) {
    item_state& item = job.items[index];
    const run_ticket ticket = next_ticket_++;
    const std::uint64_t needed_cache_tokens = expected_cache_tokens(item);
    job.waiting.erase({item.rank, index});
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
                     .last_event_at = now};
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
    std::vector<waiting_items_position> positions;
    positions.reserve(jobs.size());
    for (job_state* const job : jobs) {
        positions.push_back(job->waiting.begin());
    }
    job_round round = job_order_.begin_round(open_jobs);
    while (const auto at = round.next()) {
        const auto tokens = place_next(*jobs[*at], positions[*at], now, out);
        if (tokens) {
            round.on_placed(*at, *tokens);
        } else {
            round.on_exhausted(*at);
        }
    }
}

std::optional<std::uint64_t>
item_planner::place_next(job_state& job, waiting_items_position& next,
                         steady_time now, planner_commands& out) {
    // Placing an item removes it from the waiting ones.
    while (next != job.waiting.end()) {
        const std::size_t index = (next++)->second;
        const item_progress& progress = job.items[index].progress;
        const bool is_tied = progress.events > 0;
        const std::uint64_t tokens = estimated_tokens_left(
            job.submission->items[index], generated_tokens(progress));
        if (place_item(job, index, now, out)) {
            return tokens;
        }
        // An item that waits for certain engines doesn't hold up others.
        if (!is_tied) {
            break;
        }
    }
    return std::nullopt;
}

bool item_planner::place_item(job_state& job, std::size_t index,
                              steady_time now, planner_commands& out) {
    item_state& item = job.items[index];
    const roster_entry* engine = choose_engine(job, item, item.progress, now);
    if (engine == nullptr && item.progress.events > 0 &&
        is_text_hopeless(job, item, now)) {
        out.emplace_back(discard_text{.job = job.record.id,
                                      .item = job.submission->items[index].id,
                                      .origin = item.progress.origin,
                                      .events = item.progress.events});
        item.progress = {};
        item.discard_text_at.reset();
        engine = choose_engine(job, item, item.progress, now);
    }
    if (engine == nullptr) {
        return false;
    }
    start(job, index, *engine, now, out);
    return true;
}

bool item_planner::is_text_hopeless(const job_state& job, item_state& item,
                                    steady_time now) const {
    if (!roster_.has_software(item.progress.origin.software)) {
        return true;
    }
    // Waits only if an engine could start the item anew meanwhile.
    if (choose_engine(job, item, {}, now) == nullptr) {
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
            choose_engine(owner->second, owner->second.items[run.item],
                          run.progress, now) == nullptr) {
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
            known->second =
                choose_engine(owner->second, item, run.progress, now);
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

void item_planner::save_texts(steady_time now, planner_commands& out) {
    if (!has_term_ || now < next_save_) {
        return;
    }
    next_save_ = now + options_.save_period;
    std::map<job_id, std::vector<saved_progress>> parts;
    for (auto& [ticket, run] : runs_) {
        if (run.progress.events < run.saved_events + options_.save_events) {
            continue;
        }
        const std::size_t begin =
            run.saved_events == 0 ? 0 : run.saved_bytes + 1;
        parts[run.job].push_back({.item = run.item,
                                  .base_events = run.saved_events,
                                  .events = run.progress.events,
                                  .text = run.progress.text.substr(begin),
                                  .versions = run.progress.versions,
                                  .origin = run.progress.origin});
        run.saved_events = run.progress.events;
        run.saved_bytes = run.progress.text.size();
    }
    for (auto& [job, list] : parts) {
        out.emplace_back(save_progress{.job = job, .parts = std::move(list)});
    }
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
        while (!job.waiting.empty()) {
            const std::size_t index = job.waiting.begin()->second;
            job.waiting.erase(job.waiting.begin());
            give_up(job, index);
        }
    }
}

void item_planner::score_items(planner_commands& out) {
    while (!to_score_.empty() &&
           scorings_.size() < engine_settings_.scoring_slots) {
        const auto [id, index] = to_score_.front();
        to_score_.erase(to_score_.begin());
        const auto owner = jobs_.find(id);
        if (owner == jobs_.end() ||
            owner->second.items[index].phase != item_phase::to_score) {
            continue;
        }
        const run_ticket ticket = next_ticket_++;
        owner->second.items[index].phase = item_phase::scoring;
        scorings_[ticket] = {.job = id, .item = index};
        const auto& unreleased_tickets =
            owner->second.items[index].unreleased_tickets;
        out.emplace_back(start_scoring{
            .ticket = ticket,
            .job = owner->second.submission,
            .item = index,
            .text_ticket =
                unreleased_tickets.empty() ? 0 : unreleased_tickets.back()});
    }
}

steady_time item_planner::commit_due(const job_state& job) const {
    const bool is_last =
        job.next_position + job.ready.size() >= job.items.size();
    if (is_last || !is_starting_) {
        return job.commit_not_before;
    }
    const steady_time due =
        job.last_commit + (job.has_complete_group
                               ? options_.complete_group_interval
                               : options_.commit_interval);
    return std::max(due, job.commit_not_before);
}

void item_planner::commit_ready(steady_time now, planner_commands& out) {
    if (!has_term_) {
        return;
    }
    for (auto& [id, job] : jobs_) {
        if (job.ready.empty() || job.is_committing || !job.is_confirmed ||
            now < commit_due(job)) {
            continue;
        }
        job.commit_number = ++last_commit_number_;
        commit_results commit{.job = id,
                              .number = job.commit_number,
                              .first_position = job.next_position};
        std::size_t bytes = 0;
        for (const std::size_t index : job.ready) {
            const item_state& item = job.items[index];
            bytes += item.progress.text.size();
            if (bytes > options_.max_commit_bytes && !commit.results.empty()) {
                break;
            }
            commit.results.push_back(
                {.item = job.submission->items[index].id,
                 .is_completed = !item.is_given_up,
                 .text = item.is_given_up ? std::string() : item.progress.text,
                 .versions = item.progress.versions,
                 .score = item.score});
        }
        const auto taken = static_cast<std::ptrdiff_t>(commit.results.size());
        commit.is_last =
            job.next_position + commit.results.size() >= job.items.size();
        job.in_commit.assign(job.ready.begin(), job.ready.begin() + taken);
        job.ready.erase(job.ready.begin(), job.ready.begin() + taken);
        // What is left follows soon.
        job.has_complete_group = !job.ready.empty();
        job.is_committing = true;
        out.emplace_back(std::move(commit));
    }
}

void item_planner::advance(steady_time now, planner_commands& out) {
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
        if (!job.waiting.empty()) {
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
        count += job.waiting.size();
    }
    return count;
}

} // namespace savorydock
