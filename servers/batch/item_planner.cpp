#include "servers/batch/item_planner.hpp"

#include "servers/batch/item_ranking.hpp"

#include <algorithm>

namespace savorydock {

item_planner::item_planner(item_planner_options options,
                           run_ticket first_ticket, loading_test is_loading)
    : options_(options)
    , roster_(options.engines, std::move(is_loading))
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
    jobs_.clear();
    held_.clear();
    roster_.clear_runs();
}

void item_planner::on_job(const job_record& record,
                          std::shared_ptr<const batch_job> job,
                          const job_terms& terms,
                          const std::vector<item_id>& listed,
                          const std::map<std::size_t, item_progress>& saved,
                          steady_time accepted_at, steady_time now,
                          planner_commands& out) {
    auto [position, is_new] = jobs_.try_emplace(record.id);
    job_state& state = position->second;
    if (is_new) {
        state.record = record;
        state.source = std::move(job);
        state.terms = terms;
        state.accepted_at = accepted_at;
        take_items(state);
        for (const auto& [item, progress] : saved) {
            if (item < state.items.size() && fits(progress, state)) {
                state.items[item].progress = progress;
            }
        }
    }
    if (is_new) {
        resume_carried(state);
    }
    // What another planner listed meanwhile stands; the rest of what was
    // ready here is listed behind it.
    const std::set<item_id> done(listed.begin(), listed.end());
    for (std::size_t item = 0; item < state.items.size(); ++item) {
        if (!done.contains(state.source->items[item].id)) {
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
        close_item(state, item);
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
    adopt_held(record.id, state, now, out);
}

void item_planner::begin_adoption(steady_time now) {
    adoption_until_ = now + options_.adoption_time;
}

void item_planner::end_adoption() {
    adoption_until_ = {};
}

bool item_planner::is_placing(steady_time now) const {
    return has_term_ && is_starting_ && is_informed_ && now >= adoption_until_;
}

void item_planner::on_held(held_run held, steady_time now,
                           planner_commands& out) {
    const job_id id = held.job;
    held_[id].push_back(std::move(held));
    const auto owner = jobs_.find(id);
    if (owner != jobs_.end() && owner->second.is_confirmed) {
        adopt_held(id, owner->second, now, out);
    }
}

void item_planner::adopt_held(const job_id& id, job_state& job, steady_time now,
                              planner_commands& out) {
    const auto found = held_.find(id);
    if (found == held_.end()) {
        return;
    }
    std::vector<held_run> all = std::move(found->second);
    held_.erase(found);
    // Texts before scores: a score counts only for a whole text.
    std::stable_partition(all.begin(), all.end(),
                          [](const held_run& one) { return !one.is_scoring; });
    std::map<std::string, std::size_t> items;
    for (std::size_t at = 0; at < job.items.size(); ++at) {
        const batch_item& source = job.source->items[at];
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
        if (held.has_ended && item.phase == item_phase::to_score) {
            std::erase(to_score_, std::pair(job.record.id, index));
            item.score = std::move(held.score);
            item.kept_by.push_back(held.ticket);
            make_ready(job, index);
        }
        return;
    }
    item_progress progress{.text = std::move(held.text),
                           .events = held.events,
                           .versions = std::move(held.versions)};
    if (item.phase != item_phase::waiting || !fits(progress, job)) {
        if (!held.has_ended) {
            out.emplace_back(stop_run{.ticket = held.ticket});
        }
        return;
    }
    job.waiting.erase({item.rank, index});
    if (held.has_ended) {
        item.kept_by.push_back(held.ticket);
        finish_text(job, index, std::move(progress));
        return;
    }
    const std::uint64_t need = cache_need(item);
    item.phase = item_phase::running;
    item.progress = {};
    roster_.occupy(held.upstream, job.source->model, need);
    const std::uint64_t events = progress.events;
    runs_[held.ticket] = {.job = job.record.id,
                          .item = index,
                          .upstream = held.upstream,
                          .model = job.source->model,
                          .cache_tokens = need,
                          .progress = std::move(progress),
                          .first_events = events,
                          .last_event_at = now};
}

bool item_planner::append(item_progress& progress, const run_delta& delta) {
    if (delta.events <= progress.events) {
        return true;
    }
    if (delta.base_events != progress.events) {
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

bool item_planner::fits(const item_progress& progress, const job_state& job) {
    const auto& versions = progress.versions;
    const bool is_fresh =
        std::all_of(versions.begin(), versions.end(), [&](auto version) {
            return version >= job.source->min_version;
        });
    return is_fresh && !job.terms.is_single_version;
}

void item_planner::resume_carried(job_state& job) {
    for (std::size_t at = 0; at < job.items.size(); ++at) {
        const auto found = carried_.find(job.source->items[at].id);
        if (found == carried_.end()) {
            continue;
        }
        carried_text text = std::move(found->second);
        carried_.erase(found);
        item_state& item = job.items[at];
        if (!fits(text.progress, job) ||
            text.progress.events <= item.progress.events) {
            continue;
        }
        item.progress = std::move(text.progress);
        if (text.is_whole) {
            job.waiting.erase({item.rank, at});
            finish_text(job, at, std::move(item.progress));
        }
    }
}

void item_planner::carry(const job_state& job) {
    std::set<std::string> open_groups;
    for (std::size_t at = 0; at < job.items.size(); ++at) {
        if (job.items[at].phase != item_phase::listed) {
            open_groups.insert(job.source->items[at].group);
        }
    }
    for (std::size_t at = 0; at < job.items.size(); ++at) {
        const item_state& item = job.items[at];
        const batch_item& source = job.source->items[at];
        if (item.progress.events == 0 || item.is_lost ||
            !open_groups.contains(source.group)) {
            continue;
        }
        if (carried_.size() >= options_.max_carried) {
            carried_.erase(carried_.begin());
        }
        carried_[source.id] = {.progress = item.progress,
                               .is_whole = item.is_whole};
    }
}

void item_planner::take_items(job_state& job) {
    const std::vector<ranked_item> ranked = rank_items(*job.source);
    job.items.resize(ranked.size());
    for (std::size_t at = 0; at < ranked.size(); ++at) {
        item_state& item = job.items[at];
        item.prompt_tokens = ranked[at].prompt_tokens;
        item.expected_tokens = ranked[at].expected_tokens;
        item.rank = ranked[at].rank;
        job.waiting.insert({item.rank, at});
        ++job.open_items[job.source->items[at].group];
    }
}

void item_planner::close_item(job_state& job, std::size_t item) {
    const item_phase phase = job.items[item].phase;
    if (phase == item_phase::ready || phase == item_phase::listed) {
        return;
    }
    const std::string& group = job.source->items[item].group;
    // Items without a group are whole by themselves.
    if (--job.open_items[group] == 0 || group.empty()) {
        job.has_whole_group = true;
    }
}

void item_planner::on_job_ended(const job_id& job, planner_commands& out) {
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
    carry(found->second);
    jobs_.erase(found);
}

void item_planner::on_upstreams(const std::vector<upstream_entry>& upstreams,
                                const engine_terms& terms, steady_time now) {
    engine_terms_ = terms;
    roster_.set_upstreams(upstreams, terms.cache_tokens, now);
}

void item_planner::measure(const run_state& run, std::uint64_t events,
                           steady_time now) {
    // The first events include the wait for a slot and the prompt.
    if (events > run.progress.events &&
        run.progress.events > run.first_events) {
        roster_.measure(run.upstream, events - run.progress.events,
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
    measure(run, delta.events, now);
    run.last_event_at = now;
    if (!append(run.progress, delta) && !run.is_stopping) {
        // A report was lost between instances: the run starts again behind
        // what is here.
        run.is_stopping = true;
        out.emplace_back(stop_run{.ticket = delta.ticket});
    }
}

void item_planner::put_back(job_state& job, std::size_t item) {
    job.items[item].phase = item_phase::waiting;
    job.waiting.insert({job.items[item].rank, item});
}

void item_planner::finish_text(job_state& job, std::size_t item,
                               item_progress progress) {
    job.items[item].progress = std::move(progress);
    job.items[item].is_whole = true;
    if (!job.source->items[item].scoring) {
        make_ready(job, item);
        return;
    }
    job.items[item].phase = item_phase::to_score;
    to_score_.emplace_back(job.record.id, item);
}

void item_planner::make_ready(job_state& job, std::size_t item) {
    close_item(job, item);
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
    const bool is_joined = append(run.progress, report.rest);
    if (!is_joined && report.end == run_end::complete) {
        report.end = run_end::interrupted;
    }
    roster_.release(run.upstream, run.model, run.cache_tokens);
    const auto owner = jobs_.find(run.job);
    if (owner == jobs_.end()) {
        return;
    }
    job_state& job = owner->second;
    item_state& item = job.items[run.item];
    if (report.end == run_end::wrong_version && job.terms.is_single_version) {
        run.progress = {};
    }
    if (item.phase != item_phase::running) {
        return;
    }
    if (report.end == run_end::complete) {
        roster_.on_success(run.upstream);
        item.kept_by.push_back(report.ticket);
        finish_text(job, run.item, std::move(run.progress));
        return;
    }
    if (report.end == run_end::impossible) {
        item.is_lost = true;
        make_ready(job, run.item);
        return;
    }
    item.progress = std::move(run.progress);
    if (report.end == run_end::failed) {
        ++item.failures;
        item.avoid.insert(run.upstream);
        if (item.failures >= job.terms.max_attempts) {
            item.is_lost = true;
            make_ready(job, run.item);
            return;
        }
    } else if (report.end != run_end::stopped) {
        roster_.set_aside(run.upstream, now);
    }
    put_back(job, run.item);
}

void item_planner::on_run_lost(run_ticket ticket, steady_time now) {
    if (const auto scoring = scorings_.find(ticket);
        scoring != scorings_.end()) {
        const scoring_state lost = scoring->second;
        scorings_.erase(scoring);
        const auto owner = jobs_.find(lost.job);
        if (owner != jobs_.end() &&
            owner->second.items[lost.item].phase == item_phase::scoring) {
            owner->second.items[lost.item].phase = item_phase::to_score;
            to_score_.emplace_back(lost.job, lost.item);
        }
        return;
    }
    const auto run = runs_.find(ticket);
    if (run == runs_.end()) {
        return;
    }
    on_run_ended(
        {.ticket = ticket, .end = run_end::stopped, .rest = {.ticket = ticket}},
        now);
}

void item_planner::on_scored(score_report report) {
    const auto found = scorings_.find(report.ticket);
    if (found == scorings_.end()) {
        return;
    }
    const scoring_state scoring = found->second;
    scorings_.erase(found);
    const auto owner = jobs_.find(scoring.job);
    if (owner == jobs_.end()) {
        return;
    }
    item_state& item = owner->second.items[scoring.item];
    if (item.phase == item_phase::scoring) {
        item.is_lost = !report.score;
        item.score = report.score.value_or("");
        item.kept_by.push_back(report.ticket);
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
        job.commit_not_before = now + options_.commit_retry;
        job.has_whole_group = true;
        job.ready.insert(job.ready.begin(), job.in_commit.begin(),
                         job.in_commit.end());
        job.in_commit.clear();
        return;
    }
    for (const std::size_t item : job.in_commit) {
        job.items[item].phase = item_phase::listed;
        for (const run_ticket ticket : job.items[item].kept_by) {
            out.emplace_back(release_run{.ticket = ticket});
        }
        job.items[item].kept_by.clear();
    }
    job.next_position += job.in_commit.size();
    job.in_commit.clear();
    if (job.next_position >= job.items.size()) {
        jobs_.erase(found);
    }
}

std::vector<item_planner::job_state*> item_planner::jobs_by_urgency() {
    std::vector<job_state*> order;
    for (auto& [id, job] : jobs_) {
        order.push_back(&job);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const job_state* left, const job_state* right) {
                         const auto key = [](const job_state* job) {
                             return std::pair(job->terms.priority,
                                              job->accepted_at +
                                                  job->terms.target);
                         };
                         return key(left) < key(right);
                     });
    return order;
}

std::uint64_t item_planner::cache_need(const item_state& item) const {
    return item.prompt_tokens + item.expected_tokens;
}

const rostered_engine* item_planner::choose_engine(const job_state& job,
                                                   const item_state& item,
                                                   steady_time now) const {
    const engine_need need{.model = job.source->model,
                           .min_version = job.source->min_version,
                           .cache_tokens = cache_need(item),
                           .avoid = item.avoid};
    return roster_.choose(need, now);
}

void item_planner::start(job_state& job, std::size_t index,
                         const rostered_engine& engine, steady_time now,
                         planner_commands& out) {
    item_state& item = job.items[index];
    const run_ticket ticket = next_ticket_++;
    const std::uint64_t need = cache_need(item);
    job.waiting.erase({item.rank, index});
    item.phase = item_phase::running;
    roster_.occupy(engine.entry.id, job.source->model, need);
    runs_[ticket] = {.job = job.record.id,
                     .item = index,
                     .upstream = engine.entry.id,
                     .model = job.source->model,
                     .cache_tokens = need,
                     .progress = std::move(item.progress),
                     .last_event_at = now};
    run_state& run = runs_[ticket];
    run.first_events = run.progress.events;
    item.progress = {};
    out.emplace_back(start_run{.ticket = ticket,
                               .job = job.source,
                               .item = index,
                               .upstream = engine.entry.id,
                               .address = engine.entry.address,
                               .min_version = job.source->min_version,
                               .is_single_version = job.terms.is_single_version,
                               .progress = run.progress});
}

void item_planner::place_items(steady_time now, planner_commands& out) {
    if (!is_placing(now)) {
        return;
    }
    for (job_state* const job : jobs_by_urgency()) {
        if (!job->is_confirmed) {
            continue;
        }
        while (!job->waiting.empty()) {
            const std::size_t index = job->waiting.begin()->second;
            const rostered_engine* const engine =
                choose_engine(*job, job->items[index], now);
            if (engine == nullptr) {
                break;
            }
            start(*job, index, *engine, now, out);
        }
    }
}

void item_planner::stop_stalled(steady_time now, planner_commands& out) {
    for (auto& [ticket, run] : runs_) {
        if (!jobs_.contains(run.job) || run.is_stopping ||
            now < run.last_event_at + options_.stall_time) {
            continue;
        }
        if (roster_.is_loading(run.upstream, run.model, now)) {
            run.last_event_at = now;
            continue;
        }
        run.is_stopping = true;
        roster_.set_aside(run.upstream, now);
        out.emplace_back(stop_run{.ticket = ticket});
    }
}

void item_planner::on_loading(const upstream_id& upstream,
                              const std::string& model, steady_time now,
                              planner_commands& out) {
    if (!is_placing(now)) {
        return;
    }
    for (auto& [ticket, run] : runs_) {
        const auto owner = jobs_.find(run.job);
        if (run.upstream != upstream || run.model != model || run.is_stopping ||
            owner == jobs_.end() ||
            choose_engine(owner->second, owner->second.items[run.item], now) ==
                nullptr) {
            continue;
        }
        run.is_stopping = true;
        out.emplace_back(stop_run{.ticket = ticket});
    }
}

bool item_planner::is_move_worth(const run_state& run, const item_state& item,
                                 const rostered_engine& here,
                                 const rostered_engine& target) const {
    if (here.event_milliseconds <
        options_.move_ratio * target.event_milliseconds) {
        return false;
    }
    // An item that outgrew its caller's estimate has a long tail: half of what
    // came is taken to come again.
    const auto done = static_cast<double>(run.progress.events);
    const double events_left =
        std::max(static_cast<double>(item.expected_tokens) /
                         static_cast<double>(engine_terms_.tokens_per_event) -
                     done,
                 done / 2);
    const double saved =
        events_left * (here.event_milliseconds - target.event_milliseconds);
    return saved >= static_cast<double>(options_.move_least.count());
}

void item_planner::move_stragglers(steady_time now, planner_commands& out) {
    // The fastest engine with room, by model; looked for once a move.
    std::map<std::string, const rostered_engine*> targets;
    std::size_t moves = 0;
    for (auto& [ticket, run] : runs_) {
        const auto owner = jobs_.find(run.job);
        const rostered_engine* const here = roster_.find(run.upstream);
        if (owner == jobs_.end() || here == nullptr || run.is_stopping ||
            !owner->second.waiting.empty() ||
            run.progress.events < run.first_events + options_.move_events ||
            !roster_.is_measured(*here)) {
            continue;
        }
        item_state& item = owner->second.items[run.item];
        if (item.moves >= options_.max_moves) {
            continue;
        }
        const auto [known, is_new] = targets.try_emplace(run.model, nullptr);
        if (is_new) {
            known->second = choose_engine(owner->second, item, now);
        }
        const rostered_engine* const target = known->second;
        if (target == nullptr || !roster_.is_measured(*target) ||
            !is_move_worth(run, item, *here, *target)) {
            continue;
        }
        ++item.moves;
        run.is_stopping = true;
        out.emplace_back(stop_run{.ticket = ticket});
        targets.erase(run.model);
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
                                  .versions = run.progress.versions});
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
        if (job.terms.time_to_live.count() == 0 ||
            now < job.accepted_at + job.terms.time_to_live) {
            continue;
        }
        while (!job.waiting.empty()) {
            const std::size_t index = job.waiting.begin()->second;
            job.waiting.erase(job.waiting.begin());
            job.items[index].is_lost = true;
            make_ready(job, index);
        }
    }
}

void item_planner::score_items(planner_commands& out) {
    while (!to_score_.empty() &&
           scorings_.size() < engine_terms_.scoring_slots) {
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
        const auto& kept_by = owner->second.items[index].kept_by;
        out.emplace_back(
            start_scoring{.ticket = ticket,
                          .job = owner->second.source,
                          .item = index,
                          .made_by = kept_by.empty() ? 0 : kept_by.back()});
    }
}

steady_time item_planner::commit_due(const job_state& job) const {
    const bool is_last =
        job.next_position + job.ready.size() >= job.items.size();
    if (is_last || !is_starting_) {
        return job.commit_not_before;
    }
    const steady_time due =
        job.last_commit +
        (job.has_whole_group ? options_.whole_group_gap : options_.commit_gap);
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
        const bool is_last =
            job.next_position + job.ready.size() >= job.items.size();
        commit_results commit{.job = id,
                              .number = ++job.commit_number,
                              .first_position = job.next_position,
                              .is_last = is_last};
        for (const std::size_t index : job.ready) {
            const item_state& item = job.items[index];
            commit.results.push_back(
                {.item = job.source->items[index].id,
                 .is_completed = !item.is_lost,
                 .text = item.is_lost ? std::string() : item.progress.text,
                 .versions = item.progress.versions,
                 .score = item.score});
        }
        job.in_commit = std::move(job.ready);
        job.ready.clear();
        job.has_whole_group = false;
        job.is_committing = true;
        out.emplace_back(std::move(commit));
    }
}

void item_planner::advance(steady_time now, planner_commands& out) {
    give_up_expired(now);
    place_items(now, out);
    if (has_term_ && is_starting_ && now >= next_check_) {
        next_check_ = now + options_.check_period;
        roster_.review(now);
        stop_stalled(now, out);
        move_stragglers(now, out);
    }
    score_items(out);
    commit_ready(now, out);
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
            if (job.terms.time_to_live.count() > 0) {
                consider(job.accepted_at + job.terms.time_to_live);
            }
        }
    }
    if (has_term_ && is_starting_ && (has_waiting || !runs_.empty())) {
        consider(std::max(next_check_, adoption_until_));
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

weight_version item_planner::least_version(const std::string& model) const {
    weight_version least = 0;
    for (const auto& [id, job] : jobs_) {
        if (job.source->model == model) {
            least = std::max(least, job.source->min_version);
        }
    }
    return least;
}

bool item_planner::has_waiting(const std::string& model) const {
    return std::any_of(jobs_.begin(), jobs_.end(), [&](const auto& row) {
        return row.second.source->model == model && !row.second.waiting.empty();
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
