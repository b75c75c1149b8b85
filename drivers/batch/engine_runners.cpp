#include "core/wire_codec.hpp"
#include "drivers/batch/engine_driver.hpp"
#include "platform/request_codec.hpp"
#include "servers/batch/message_parts.hpp"

namespace savorydock {

namespace {

/// How often a planner sends heartbeats to its runners and checks them for lost
/// runs.
constexpr std::chrono::milliseconds runner_check_interval{500};
/// After this time an instance that hasn't answered the takeover is expected
/// not to: the message or its answer was lost.
constexpr std::chrono::milliseconds takeover_answer_timeout{1'500};
/// When more locations are known, all are removed. That is safe, because
/// instances drop the results of ended jobs without a release order.
constexpr std::size_t max_result_locations = 8'192;
/// Half of the limit of the link between instances.
constexpr std::size_t max_order_bytes = 1U << 20U;

std::string to_text(const std::vector<instance_id>& instances) {
    std::string text;
    for (const instance_id& instance : instances) {
        text += text.empty() ? "" : ",";
        text += instance.text();
    }
    return text;
}

} // namespace

void engine_driver::reset_run_tables() {
    runners_ = runner_pool({.self = options_.self});
    result_locations_.clear();
    pending_releases_.clear();
    lost_runs_.clear();
}

void engine_driver::begin_takeover() {
    if (has_dropped_runs_) {
        reset_run_tables();
    }
    has_dropped_runs_ = false;
    unanswered_takeovers_.clear();
    reported_runs_.clear();
    post_step([](engine_control& control, steady_time now, engine_commands&) {
        control.planner().begin_adoption(now);
    });
    for (const auto& [instance, entry] : directory_) {
        unanswered_takeovers_.insert(instance);
    }
    unanswered_takeovers_.insert(options_.self);
    // Iterates over a copy: this instance answers during the loop, which
    // changes the original.
    const std::set<instance_id> recipients = unanswered_takeovers_;
    for (const instance_id& instance : recipients) {
        send_order_to(instance, {.is_takeover = true});
    }
}

void engine_driver::adopt_held_runs(const instance_id& runner,
                                    std::vector<held_run> held, bool has_more) {
    const steady_time now = std::chrono::steady_clock::now();
    std::set<run_ticket>& reported = reported_runs_[runner];
    std::set<job_id> ended;
    for (const held_run& one : held) {
        reported.insert(one.ticket);
        const auto record = jobs_.records().find(one.job);
        if (record != jobs_.records().end() && record->second.is_ended) {
            ended.insert(one.job);
        }
        lost_runs_.erase(one.ticket);
        if (one.has_ended) {
            runners_.on_ended(one.ticket);
            result_locations_[one.ticket] = runner;
        } else {
            runners_.adopt(one.ticket, runner, now);
        }
    }
    std::vector<run_ticket> missing;
    if (!has_more) {
        unanswered_takeovers_.erase(runner);
        // The runner ignores orders of earlier terms from now on.
        missing = runners_.take_missing_runs(runner, reported, gained_at_);
        reported_runs_.erase(runner);
    }
    if (!missing.empty()) {
        log_.write(log_event::runner_lost,
                   "service=" + options_.service.text() +
                       " runner=" + runner.text() +
                       " runs=" + std::to_string(missing.size()) +
                       " reason=\"not reported at the takeover\"");
    }
    post_step(
        [held = std::move(held), ended = std::move(ended), missing,
         is_complete = unanswered_takeovers_.empty()](
            engine_control& control, steady_time at, engine_commands& out) {
            // The planner never loads these jobs, so it isn't told otherwise.
            for (const job_id& job : ended) {
                control.planner().on_job_ended(job, out.planner);
            }
            for (const held_run& one : held) {
                control.planner().on_held_run(one, at, out.planner);
            }
            for (const run_ticket ticket : missing) {
                control.planner().on_run_lost(ticket, at);
            }
            if (is_complete) {
                control.planner().end_adoption();
            }
        });
    schedule_runner_check();
}

run_task engine_driver::make_task(const start_run& command) const {
    const batch_item& item = command.job->items[command.item];
    run_task task{.ticket = command.ticket,
                  .job = command.job->id,
                  .id = item.id.text(),
                  .host = command.job->host,
                  .path = item.path,
                  .body = item.body,
                  .upstream = command.upstream,
                  .address = to_text(command.address),
                  .min_version = command.min_version,
                  .is_single_version = command.is_single_version,
                  .after_event = command.progress.events,
                  .text = command.progress.text,
                  .versions = command.progress.versions,
                  .origin = command.progress.origin,
                  .max_events = command.max_events};
    if (const auto record = jobs_.records().find(task.job);
        record != jobs_.records().end()) {
        task.organisation = record->second.organisation;
    }
    const bool strips_credentials =
        !task.organisation.is_empty() ||
        (fleet_.routes && fleet_.routes->keys().has_organisations());
    const http_headers headers =
        strips_credentials ? platform::without_credentials(item.headers)
                           : item.headers;
    for (const http_header& header : headers) {
        task.headers.push_back({header.name, header.value});
    }
    return task;
}

run_task engine_driver::make_task(const start_scoring& command) const {
    const scoring_call& scoring = *command.job->items[command.item].scoring;
    return {.ticket = command.ticket,
            .is_scoring = true,
            .job = command.job->id,
            .id = scoring.id,
            .host = scoring.host,
            .path = scoring.path,
            .body = scoring.body,
            .text_ticket = command.text_ticket};
}

void engine_driver::execute_one(start_run& command) {
    const upstream_entry* const upstream = find_upstream(command.upstream);
    std::optional<runner_preference> preference;
    if (upstream != nullptr) {
        preference =
            runner_preference{.zone = upstream->zone, .upstream = upstream->id};
    }
    const steady_time now = std::chrono::steady_clock::now();
    run_task task = make_task(command);
    instance_id runner = options_.self;
    if (encoded_size(task) > max_order_bytes) {
        // The link to other instances would drop the order.
        runners_.adopt(command.ticket, runner, now);
    } else {
        runner = runners_.assign(command.ticket, directory_, now, preference);
    }
    orders_[runner].tasks.push_back(std::move(task));
}

void engine_driver::execute_one(start_scoring& command) {
    const steady_time now = std::chrono::steady_clock::now();
    const auto location = result_locations_.find(command.text_ticket);
    instance_id runner;
    if (location != result_locations_.end() &&
        directory_.contains(location->second)) {
        // Scores on the instance that ran the item, so that few instances
        // connect to the scorers.
        runner = location->second;
        runners_.adopt(command.ticket, runner, now);
    } else {
        runner = runners_.assign(command.ticket, directory_, now);
    }
    orders_[runner].tasks.push_back(make_task(command));
}

void engine_driver::execute_one(release_run& command) {
    const auto location = result_locations_.find(command.ticket);
    if (location != result_locations_.end()) {
        pending_releases_[location->second].push_back(command.ticket);
        result_locations_.erase(location);
    }
}

void engine_driver::execute_one(stop_run& command) {
    const instance_id runner = runners_.runner_of(command.ticket);
    if (command.is_stalled) {
        log_.write(log_event::item_stalled,
                   "service=" + options_.service.text() + " runner=" +
                       runner.text() + " upstream=" + command.upstream.text());
    }
    if (!runner.is_empty()) {
        orders_[runner].stopped.push_back(command.ticket);
    }
    if (command.is_scoring) {
        runners_.on_ended(command.ticket);
    }
}

void engine_driver::execute_one(unknown_runs& command) {
    std::string tickets;
    std::vector<run_ticket>& stopped = orders_[command.runner].stopped;
    for (const run_ticket ticket : command.tickets) {
        tickets += tickets.empty() ? "" : ",";
        tickets += std::to_string(ticket);
        stopped.push_back(ticket);
        lost_runs_.erase(ticket);
    }
    statistics_.unknown_runs_stopped += command.tickets.size();
    log_.write(log_event::unknown_runs_reported,
               "service=" + options_.service.text() +
                   " runner=" + command.runner.text() + " tickets=" + tickets);
}

void engine_driver::send_orders() {
    std::map<instance_id, runner_command> orders;
    orders.swap(orders_);
    for (auto& [runner, order] : orders) {
        send_order_to(runner, std::move(order));
    }
    schedule_runner_check();
}

void engine_driver::send_order_to(const instance_id& runner,
                                  runner_command order) {
    order.service = options_.service;
    order.term = last_term_;
    if (const auto done = pending_releases_.find(runner);
        done != pending_releases_.end()) {
        order.released = std::move(done->second);
        pending_releases_.erase(done);
    }
    if (runner == options_.self) {
        host_.on_order(runner, std::move(order));
        return;
    }
    const auto entry = directory_.find(runner);
    if (entry == directory_.end()) {
        return;
    }
    for (const runner_command& part :
         split(std::move(order), max_order_bytes)) {
        peers_.send({.from = options_.self,
                     .to = runner,
                     .topic = peer_topic::runner_command,
                     .body = wire::encode(part)},
                    entry->second.address);
    }
}

void engine_driver::schedule_runner_check() {
    if (is_runner_timer_set_ || runners_.busy_runners().empty()) {
        return;
    }
    is_runner_timer_set_ = true;
    runner_timer_.expires_after(runner_check_interval);
    runner_timer_.async_wait([this](const boost::system::error_code& error) {
        is_runner_timer_set_ = false;
        if (error) {
            return;
        }
        const auto lost_runs =
            runners_.take_lost_runs(std::chrono::steady_clock::now());
        if (!lost_runs.empty()) {
            lost_runs_.insert(lost_runs.begin(), lost_runs.end());
            log_.write(log_event::runner_lost,
                       "service=" + options_.service.text() + " runs=" +
                           std::to_string(lost_runs.size()) + " runners=" +
                           to_text(runners_.lost_runners(
                               std::chrono::steady_clock::now())));
            post_step([lost_runs](engine_control& control, steady_time now,
                                  engine_commands&) {
                for (const run_ticket ticket : lost_runs) {
                    control.planner().on_run_lost(ticket, now);
                }
            });
        }
        for (const instance_id& runner : runners_.busy_runners()) {
            orders_[runner];
        }
        for (const instance_id& runner :
             runners_.lost_runners(std::chrono::steady_clock::now())) {
            orders_[runner].is_probe = true;
        }
        for (const auto& [runner, tickets] : pending_releases_) {
            orders_[runner];
        }
        send_orders();
    });
}

bool engine_driver::is_takeover_open(const instance_id& runner,
                                     steady_time now) const {
    return unanswered_takeovers_.contains(runner) &&
           now < gained_at_ + takeover_answer_timeout;
}

void engine_driver::adopt_found_runs(const instance_id& runner,
                                     const runner_update& update,
                                     steady_time now) {
    std::vector<std::pair<run_delta, bool>> found;
    for (const run_report& end : update.ends) {
        if (lost_runs_.erase(end.ticket) > 0) {
            found.emplace_back(end.last_delta, end.end == run_end::complete);
        }
    }
    for (const run_delta& delta : update.deltas) {
        if (lost_runs_.erase(delta.ticket) > 0) {
            runners_.adopt(delta.ticket, runner, now);
            found.emplace_back(delta, false);
        }
    }
    if (found.empty()) {
        return;
    }
    log_.write(log_event::runner_found,
               "service=" + options_.service.text() + " runner=" +
                   runner.text() + " runs=" + std::to_string(found.size()));
    post_step([found = std::move(found)](engine_control& control,
                                         steady_time at, engine_commands& out) {
        for (const auto& [delta, is_complete] : found) {
            control.planner().on_run_found(delta, is_complete, at, out.planner);
        }
    });
}

void engine_driver::on_run_update(const instance_id& runner,
                                  runner_update update) {
    const steady_time now = std::chrono::steady_clock::now();
    if (update.takeover_term != 0) {
        if (update.takeover_term == last_term_ && term_.term()) {
            adopt_held_runs(runner, std::move(update.held), update.has_more);
        }
        return;
    }
    if (result_locations_.size() > max_result_locations) {
        result_locations_.clear();
    }
    for (const run_report& end : update.ends) {
        runners_.on_ended(end.ticket);
        if (end.end == run_end::complete) {
            result_locations_[end.ticket] = runner;
        }
    }
    for (const score_message& score : update.scores) {
        runners_.on_ended(score.ticket);
        if (score.has_score) {
            result_locations_[score.ticket] = runner;
        }
    }
    bool has_news = false;
    for (const upstream_id& upstream : update.leaving) {
        if (fleet_.pool.mark_leaving(upstream)) {
            log_.write(log_event::upstream_leaving,
                       "upstream=" + upstream.text() +
                           " source=runner runner=" + runner.text());
            has_news = true;
        }
    }
    if (has_news) {
        fleet_.on_leaving();
    }
    on_ends_reported(update.ended_jobs);
    runners_.on_heard(runner);
    adopt_found_runs(runner, update, now);
    std::vector<run_ticket> missing;
    if (!update.active.empty()) {
        missing = runners_.on_runner_update(
            runner, {update.active.begin(), update.active.end()}, now);
        for (const run_ticket ticket : missing) {
            runners_.on_ended(ticket);
        }
    }
    if (is_takeover_open(runner, now)) {
        update.active.clear();
    }
    post_step([runner, update = std::move(update),
               missing](engine_control& control, steady_time at,
                        engine_commands& out) {
        item_planner& planner = control.planner();
        for (const observed_limit& limit : update.limits) {
            planner.on_request_limit(
                limit.upstream,
                limit.has_limit
                    ? std::optional(static_cast<double>(limit.limit) /
                                    limit_unit)
                    : std::nullopt,
                at - limit.age);
        }
        for (const run_delta& delta : update.deltas) {
            planner.on_run_delta(delta, at, out.planner);
        }
        for (const run_report& end : update.ends) {
            planner.on_run_ended(end, at);
        }
        for (const score_message& score : update.scores) {
            planner.on_scored({.ticket = score.ticket,
                               .score = score.has_score
                                            ? std::optional(score.score)
                                            : std::nullopt});
        }
        for (const run_ticket ticket : missing) {
            planner.on_run_lost(ticket, at);
        }
        planner.on_active_runs(runner, update.active, out.planner);
    });
}

void engine_driver::on_ends_reported(const std::vector<job_id>& ended) {
    bool has_news = false;
    for (const job_id& job : ended) {
        has_news = jobs_.on_end_reported(job) || has_news;
    }
    if (has_news) {
        on_jobs_changed();
    }
}

} // namespace savorydock
