#include "drivers/batch/run_host.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// How often new events are reported to planners.
constexpr std::chrono::milliseconds report_period{400};
/// Runs are stopped if their planner has sent nothing for this time. Planners
/// send heartbeats at least twice a second. A failed planner's lease of 3 s
/// expires and another instance claims the term within a second, so a takeover
/// would have come by then.
constexpr std::chrono::milliseconds planner_timeout{5'000};
/// Limits that upstreams named are repeated to planners for this long, because
/// a new planner doesn't know them.
constexpr std::chrono::milliseconds limit_report_time{10'000};

/// Whether an engine that reads the task's request sees exactly one.
bool is_single_request(const run_task& task) {
    return is_valid_target(task.path) && is_valid_header_value(task.host) &&
           is_valid_header_value(task.id) &&
           std::all_of(task.headers.begin(), task.headers.end(),
                       [](const run_header& header) {
                           return is_valid_header_name(header.name) &&
                                  is_valid_header_value(header.value);
                       });
}

std::string to_word(run_end end) {
    switch (end) {
    case run_end::complete:
        return "complete";
    case run_end::interrupted:
        return "interrupted";
    case run_end::not_run:
        return "not_run";
    case run_end::failed:
        return "failed";
    case run_end::invalid_item:
        return "impossible";
    case run_end::wrong_version:
        return "wrong_version";
    case run_end::stopped:
        return "stopped";
    case run_end::oversized:
        return "oversized";
    case run_end::unavailable:
        return "unavailable";
    }
    return "unlisted";
}

} // namespace

run_host::run_host(asio::io_context& context, item_runner& runner,
                   instance_id self, reporter report, job_end_check is_ended,
                   logger& log)
    : context_(context)
    , runner_(runner)
    , self_(std::move(self))
    , report_(std::move(report))
    , is_ended_(std::move(is_ended))
    , log_(log)
    , timer_(context) {
    runner_.on_limit([this](const run_task& task, std::optional<double> limit) {
        on_limit(task, limit);
    });
    runner_.on_leaving([this](const run_task& task) { on_leaving(task); });
}

void run_host::on_order(const instance_id& planner, runner_command order) {
    const planner_key key{planner, order.service};
    store_revision& term = terms_[order.service];
    if (order.term < term) {
        log_.write(log_event::run_order_ignored,
                   "planner=" + planner.text() +
                       " term=" + std::to_string(order.term) +
                       " newest=" + std::to_string(term));
        return;
    }
    term = order.term;
    const steady_time now = std::chrono::steady_clock::now();
    last_heard_at_[key] = now;
    for (const run_ticket ticket : order.released) {
        kept_results_.release(ticket);
    }
    if (order.is_takeover) {
        kept_results_.drop_old(now, is_ended_);
        hand_over(key, order.term);
    }
    if (order.is_probe) {
        report_(planner, {.service = order.service});
    }
    for (const run_ticket ticket : order.stopped) {
        stop(ticket);
    }
    for (run_task& task : order.tasks) {
        start(key, std::move(task));
    }
}

void run_host::hand_over(const planner_key& planner, store_revision term) {
    runner_update update{.service = planner.second, .takeover_term = term};
    std::vector<run_ticket> scorings;
    for (const auto& [ticket, run] : runs_) {
        if (run->service != planner.second || run->record->is_stopped) {
            continue;
        }
        if (run->task->is_scoring) {
            scorings.push_back(ticket);
            continue;
        }
        run->planner = planner.first;
        const item_progress& progress = run->record->progress;
        update.held.push_back({.ticket = ticket,
                               .job = run->task->job,
                               .id = run->task->id,
                               .upstream = run->task->upstream,
                               .events = progress.events,
                               .text = progress.text,
                               .versions = progress.versions,
                               .origin = progress.origin});
        // Marks the text as reported, so that the next report doesn't repeat
        // it.
        static_cast<void>(run->record->take_delta(ticket));
    }
    kept_results_.append_to(update.held, planner.second);
    // Scoring is cheap and idempotent, so the new planner starts it again.
    for (const run_ticket ticket : scorings) {
        stop(ticket);
    }
    log_.write(log_event::runs_handed_over,
               "planner=" + planner.first.text() +
                   " term=" + std::to_string(term) +
                   " held=" + std::to_string(update.held.size()));
    report_(planner.first, std::move(update));
}

void run_host::keep_result(const active_run& run, held_run result) {
    result.ticket = run.task->ticket;
    result.job = run.task->job;
    result.id = run.task->id;
    result.upstream = run.task->upstream;
    result.has_ended = true;
    kept_results_.keep(run.service, std::move(result),
                       std::chrono::steady_clock::now());
}

void run_host::stop_all() {
    std::vector<run_ticket> tickets;
    for (const auto& [ticket, run] : runs_) {
        tickets.push_back(ticket);
    }
    for (const run_ticket ticket : tickets) {
        stop(ticket);
    }
}

void run_host::refuse_task(const planner_key& planner, const run_task& task) {
    // Answers after a delay: a planner of an older version doesn't learn of the
    // job's end from the answer and would place the item again at once.
    const auto timer = std::make_shared<asio::steady_timer>(context_);
    timer->expires_after(report_period);
    timer->async_wait([this, timer, planner, ticket = task.ticket,
                       job = task.job](const boost::system::error_code& error) {
        if (error) {
            return;
        }
        runner_update update{.service = planner.second};
        update.ends.push_back({.ticket = ticket,
                               .end = run_end::stopped,
                               .last_delta = {.ticket = ticket}});
        if (is_ended_(job)) {
            update.ended_jobs.push_back(job);
        }
        report_(planner.first, std::move(update));
    });
}

void run_host::on_leaving(const run_task& task) {
    const auto run = runs_.find(task.ticket);
    if (run == runs_.end()) {
        return;
    }
    // The planner must know before it places the next items.
    runner_update update{.service = run->second->service};
    update.leaving.push_back(task.upstream);
    report_(run->second->planner, std::move(update));
}

void run_host::on_limit(const run_task& task, std::optional<double> limit) {
    const auto run = runs_.find(task.ticket);
    const auto known = limits_.find(task.upstream);
    const bool is_known = known != limits_.end();
    if (run == runs_.end() || (!limit && !is_known)) {
        return;
    }
    const bool is_changed = !is_known || known->second.limit != limit;
    limits_[task.upstream] = {.service = run->second->service,
                              .limit = limit,
                              .answered_at = std::chrono::steady_clock::now()};
    if (is_changed) {
        report_limits(run->second->planner, run->second->service);
    }
}

void run_host::on_limit_observed(const instance_id& planner,
                                 const service_name& service,
                                 const upstream_id& upstream,
                                 std::optional<double> limit) {
    limits_[upstream] = {.service = service,
                         .limit = limit,
                         .answered_at = std::chrono::steady_clock::now()};
    report_limits(planner, service);
}

void run_host::report_limits(const instance_id& planner,
                             const service_name& service) {
    // The planner must know before it places the next items.
    runner_update update{.service = service};
    update.limits = limits_of(service, std::chrono::steady_clock::now());
    report_(planner, std::move(update));
}

std::vector<observed_limit> run_host::limits_of(const service_name& service,
                                                steady_time now) const {
    std::vector<observed_limit> observed;
    for (const auto& [upstream, limit] : limits_) {
        if (limit.service == service) {
            observed.push_back(
                {.upstream = upstream,
                 .has_limit = limit.limit.has_value(),
                 .limit = static_cast<std::uint64_t>(
                     std::llround(limit.limit.value_or(0) * limit_unit)),
                 .age = std::chrono::duration_cast<std::chrono::milliseconds>(
                     now - limit.answered_at)});
        }
    }
    return observed;
}

void run_host::start(const planner_key& planner, run_task task) {
    if (is_ended_(task.job)) {
        log_.write(log_event::item_interrupted,
                   "item=" + task.id + " job=" + task.job.text() +
                       " end=refused reason=\"the job has ended\"");
        refuse_task(planner, task);
        return;
    }
    if (!is_single_request(task)) {
        // From a job that an instance of an older version accepted.
        log_.write(log_event::item_interrupted,
                   "item=" + task.id + " job=" + task.job.text() +
                       " end=refused reason=\"not a single request\"");
        refuse_task(planner, task);
        return;
    }
    auto run = std::make_shared<active_run>();
    run->planner = planner.first;
    run->service = planner.second;
    run->record = std::make_shared<run_record>(
        run_record::resumed_after({.text = std::move(task.text),
                                   .events = task.after_event,
                                   .versions = std::move(task.versions),
                                   .origin = task.origin}));
    run->task = std::make_shared<const run_task>(std::move(task));
    if (!runs_.emplace(run->task->ticket, run).second) {
        return;
    }
    if (run->task->is_scoring) {
        start_scoring(run);
    } else {
        start_run(run);
    }
    schedule_reports();
}

void run_host::start_run(const run_pointer& run) {
    ++statistics_.started;
    log_.write(log_event::item_started,
               "item=" + run->task->id + " job=" + run->task->job.text() +
                   " ticket=" + std::to_string(run->task->ticket) +
                   " upstream=" + run->task->upstream.text() +
                   " software=" + run->task->origin.software.text() +
                   " after_event=" + std::to_string(run->task->after_event));
    asio::co_spawn(
        context_,
        runner_.run(run->task, run->record,
                    [this, run] { return is_wanted(*run); }),
        asio::bind_cancellation_slot(
            run->cancel.slot(),
            [this, run](const std::exception_ptr& error, run_end end) {
                on_run_ended(run, error ? run_end::interrupted : end);
            }));
}

void run_host::on_run_ended(const run_pointer& run, run_end end) {
    runs_.erase(run->task->ticket);
    end = run->record->is_stopped ? run_end::stopped : end;
    if (end != run_end::complete) {
        ++statistics_.interrupted;
        log_.write(
            log_event::item_interrupted,
            "item=" + run->task->id + " job=" + run->task->job.text() +
                " upstream=" + run->task->upstream.text() +
                " end=" + to_word(end) +
                " events=" + std::to_string(run->record->progress.events) +
                " bytes=" + std::to_string(run->record->progress.text.size()));
    } else {
        const item_progress& progress = run->record->progress;
        keep_result(*run, {.events = progress.events,
                           .text = progress.text,
                           .versions = progress.versions,
                           .origin = progress.origin});
    }
    runner_update update{.service = run->service};
    // The planner discards an oversized text.
    update.ends.push_back(
        {.ticket = run->task->ticket,
         .end = end,
         .last_delta = end == run_end::oversized
                           ? run_delta{.ticket = run->task->ticket}
                           : run->record->take_delta(run->task->ticket)});
    if (end == run_end::stopped && is_ended_(run->task->job)) {
        update.ended_jobs.push_back(run->task->job);
    }
    report_(run->planner, std::move(update));
}

void run_host::start_scoring(const run_pointer& run) {
    log_.write(log_event::item_started,
               "scoring=" + run->task->id + " job=" + run->task->job.text() +
                   " ticket=" + std::to_string(run->task->ticket));
    asio::co_spawn(
        context_,
        runner_.score(run->task, [this, run] { return is_wanted(*run); }),
        asio::bind_cancellation_slot(
            run->cancel.slot(), [this, run](const std::exception_ptr& error,
                                            std::optional<std::string> score) {
                if (error) {
                    score.reset();
                }
                on_scoring_ended(run, std::move(score), error != nullptr);
            }));
}

void run_host::on_scoring_ended(const run_pointer& run,
                                std::optional<std::string> score,
                                bool is_interrupted) {
    const bool is_ended = is_ended_(run->task->job);
    runs_.erase(run->task->ticket);
    if (is_interrupted || run->record->is_stopped || (!score && is_ended)) {
        log_.write(
            log_event::item_interrupted,
            "job=" + run->task->job.text() + " scoring=" + run->task->id +
                " ticket=" + std::to_string(run->task->ticket) + " end=" +
                to_word(is_wanted(*run) ? run_end::interrupted
                                        : run_end::stopped));
        // No score: a planner that doesn't know the end would list the item as
        // lost.
        if (is_ended && !run->record->is_stopped) {
            report_(run->planner,
                    {.service = run->service, .ended_jobs = {run->task->job}});
        }
        return;
    }
    log_.write(log_event::item_scored, "job=" + run->task->job.text() +
                                           " scoring=" + run->task->id +
                                           " scored=" + (score ? "yes" : "no"));
    if (score) {
        keep_result(*run, {.is_scoring = true,
                           .score = *score,
                           .text_ticket = run->task->text_ticket});
    }
    runner_update update{.service = run->service};
    update.scores.push_back({.ticket = run->task->ticket,
                             .has_score = score.has_value(),
                             .score = score.value_or("")});
    report_(run->planner, std::move(update));
}

void run_host::stop(run_ticket ticket) {
    const auto found = runs_.find(ticket);
    if (found == runs_.end()) {
        return;
    }
    // Keeps the run alive: its completion handler erases the entry.
    const run_pointer run = found->second;
    run->record->is_stopped = true;
    run->cancel.emit(asio::cancellation_type::terminal);
}

bool run_host::is_wanted(const active_run& run) const {
    return !run.record->is_stopped && !is_ended_(run.task->job);
}

void run_host::stop_ended_jobs() {
    std::map<planner_key, std::set<job_id>> ended;
    std::vector<run_ticket> tickets;
    for (const auto& [ticket, run] : runs_) {
        if (is_ended_(run->task->job)) {
            ended[{run->planner, run->service}].insert(run->task->job);
            tickets.push_back(ticket);
        }
    }
    statistics_.stopped_after_end += tickets.size();
    for (const run_ticket ticket : tickets) {
        stop(ticket);
    }
    for (const auto& [planner, jobs] : ended) {
        log_.write(log_event::ended_runs_stopped,
                   "service=" + planner.second.text() +
                       " planner=" + planner.first.text() +
                       " jobs=" + std::to_string(jobs.size()));
        report_(planner.first, {.service = planner.second,
                                .ended_jobs = {jobs.begin(), jobs.end()}});
    }
}

void run_host::schedule_reports() {
    if (is_timer_set_ || runs_.empty()) {
        return;
    }
    is_timer_set_ = true;
    timer_.expires_after(report_period);
    timer_.async_wait([this](const boost::system::error_code& error) {
        is_timer_set_ = false;
        if (!error) {
            const steady_time now = std::chrono::steady_clock::now();
            stop_orphans(now);
            stop_ended_jobs();
            kept_results_.drop_old(now, is_ended_);
            report_events();
            schedule_reports();
        }
    });
}

void run_host::report_events() {
    std::map<planner_key, runner_update> updates;
    for (const auto& [ticket, run] : runs_) {
        runner_update& update = updates[{run->planner, run->service}];
        update.service = run->service;
        update.active.push_back(ticket);
        if (run->record->progress.events > run->record->reported_events) {
            update.deltas.push_back(run->record->take_delta(ticket));
        }
    }
    const steady_time now = std::chrono::steady_clock::now();
    std::erase_if(limits_, [&](const auto& row) {
        return now > row.second.answered_at + limit_report_time;
    });
    for (auto& [planner, update] : updates) {
        update.limits = limits_of(planner.second, now);
        report_(planner.first, std::move(update));
    }
}

void run_host::stop_orphans(steady_time now) {
    std::vector<run_ticket> orphans;
    for (const auto& [ticket, run] : runs_) {
        if (run->planner != self_ &&
            now > last_heard_at_[{run->planner, run->service}] +
                      planner_timeout) {
            orphans.push_back(ticket);
        }
    }
    for (const run_ticket ticket : orphans) {
        stop(ticket);
    }
}

run_statistics run_host::statistics() const {
    run_statistics statistics = statistics_;
    statistics.active = runs_.size();
    return statistics;
}

} // namespace savorydock
