#include "core/utf8.hpp"
#include "servers/batch/item_planner.hpp"

#include <algorithm>

namespace savorydock {

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
            erase_waiting(job, at);
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
            item.phase == item_phase::waiting) {
            erase_waiting(job, index);
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

void item_planner::requeue_scoring(const scoring_state& scoring) {
    const auto owner = jobs_.find(scoring.job);
    if (owner != jobs_.end() &&
        owner->second.items[scoring.item].phase == item_phase::scoring) {
        owner->second.items[scoring.item].phase = item_phase::to_score;
        to_score_.emplace_back(scoring.job, scoring.item);
    }
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
        probation_.forget(id);
        rooms_.forget(id);
        jobs_.erase(found);
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

} // namespace savorydock
