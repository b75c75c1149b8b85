#include "core/utf8.hpp"
#include "servers/batch/item_planner.hpp"

#include <algorithm>
#include <iterator>

namespace savorydock {

void item_planner::begin_adoption(steady_time now) {
    adoption_deadline_ = now + options_.adoption_timeout;
}

void item_planner::end_adoption() {
    adoption_deadline_ = {};
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
    erase_waiting(job, index);
    if (held.has_ended) {
        item.unreleased_tickets.push_back(held.ticket);
        finish_text(job, index, std::move(progress));
        return;
    }
    const std::uint64_t needed_cache_tokens =
        expected_cache_tokens(item, progress);
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
        if (!runs_.contains(ticket)) {
            out.emplace_back(stop_run{.ticket = ticket});
        }
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
        probation_.on_probe_ended({run.job, run.item}, false, now);
        out.emplace_back(stop_run{.ticket = *replacement});
    } else {
        erase_waiting(job, run.item);
        item.progress = {};
    }
    item.phase = item_phase::running;
    roster_.occupy(run.upstream, run.model, run.cache_tokens);
    run.last_event_at = now;
    runs_[ticket] = std::move(run);
}

bool item_planner::is_known(run_ticket ticket) const {
    const auto is_held = [ticket](const auto& row) {
        return std::any_of(
            row.second.begin(), row.second.end(),
            [ticket](const held_run& held) { return held.ticket == ticket; });
    };
    return runs_.contains(ticket) || scorings_.contains(ticket) ||
           lost_runs_.contains(ticket) ||
           std::any_of(held_runs_.begin(), held_runs_.end(), is_held);
}

void item_planner::on_active_runs(const instance_id& runner,
                                  const std::vector<run_ticket>& active,
                                  planner_commands& out) const {
    unknown_runs unknown{.runner = runner};
    std::copy_if(active.begin(), active.end(),
                 std::back_inserter(unknown.tickets),
                 [this](run_ticket ticket) { return !is_known(ticket); });
    if (!unknown.tickets.empty()) {
        out.emplace_back(std::move(unknown));
    }
}

void item_planner::drop_old_lost_runs(steady_time now) {
    std::erase_if(lost_runs_, [&](const auto& row) {
        return now >= row.second.lost_at + options_.lost_run_retention ||
               !jobs_.contains(row.second.run.job);
    });
}

} // namespace savorydock
