#include "drivers/batch/engine_driver.hpp"

#include "servers/batch/job_keys.hpp"
#include "servers/fleet/limit_sharing.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// Pause before a job is read again after a failed read or a superseded commit.
constexpr std::chrono::milliseconds load_retry_delay{150};
constexpr std::chrono::milliseconds drain_check_interval{50};
/// How often a planner checks whether another instance should plan.
constexpr std::chrono::milliseconds rank_check_interval{1'000};
/// How long a planner keeps its term at least before it hands it over. Doubled
/// each time, because a hand-over that nobody takes costs seconds.
constexpr std::chrono::milliseconds first_min_hold_time{5'000};
constexpr std::chrono::milliseconds longest_min_hold_time{80'000};
/// Scoring calls use at most this share of the slots of plain services; the
/// rest is reserved for other callers of the same upstreams.
constexpr double max_scoring_share = 0.5;

asio::awaitable<void> pause(asio::io_context& context,
                            std::chrono::milliseconds time) {
    asio::steady_timer timer(context);
    timer.expires_after(time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace

engine_driver::engine_driver(asio::io_context& context,
                             control_mailbox& control, store_client& store,
                             job_store& jobs, http_client& engines,
                             run_host& host, peer_transport& peers,
                             const node_directory& directory,
                             fleet_state& fleet,
                             std::function<bool()> is_data_current, logger& log,
                             engine_driver_options options)
    : context_(context)
    , mailbox_(control)
    , store_(store)
    , jobs_(jobs)
    , engines_(engines)
    , fleet_(fleet)
    , log_(log)
    , host_(host)
    , peers_(peers)
    , directory_(directory)
    , is_data_current_(std::move(is_data_current))
    , options_(std::move(options))
    , runners_({.self = options_.self})
    , term_(
          context, store,
          {.key = term_key(options_.service),
           .self = options_.self,
           .lease_time = options_.lease_time,
           .processor_share = options_.processor_share,
           .claim_delay = options_.claim_delay,
           .settled_key = settled_term_key(options_.service.text()),
           .process_start = options_.process_start,
           .seed = options_.seed},
          [this](const held_term& term) { on_gained(term); },
          [this](term_end reason) { on_lost(reason); }, log)
    , control_({}, options_.seed, {.holder = options_.self.text()})
    , wake_timer_(context)
    , runner_timer_(context) {}

void engine_driver::start() {
    asio::co_spawn(context_, term_.run(), asio::detached);
    asio::co_spawn(context_, hand_over_if_outranked(), asio::detached);
    asio::co_spawn(context_, report_demand_regularly(), asio::detached);
    on_fleet_changed();
}

asio::awaitable<void> engine_driver::hand_over_if_outranked() {
    auto min_hold_time = first_min_hold_time;
    while (true) {
        co_await pause(context_, rank_check_interval);
        const auto held_for = std::chrono::steady_clock::now() - gained_at_;
        // An order under way could arrive after the next holder's first one.
        if (!term_.is_held_now() || held_for < min_hold_time ||
            orders_in_progress_ > 0 || !options_.is_outranked()) {
            continue;
        }
        log_.write(log_event::term_handed_over,
                   "service=" + options_.service.text() +
                       " term=" + std::to_string(term_.term()->revision));
        // If nobody else claims the term, this instance gets it back.
        min_hold_time = std::min(min_hold_time * 2, longest_min_hold_time);
        co_await term_.release();
    }
}

void engine_driver::on_term_key(const stored_value* value,
                                store_revision revision) {
    term_.on_key(value, revision);
}

void engine_driver::post_step(control_step step) {
    mailbox_.post(
        [this, is_data_current = is_data_current_(), step = std::move(step)] {
            const steady_time now = std::chrono::steady_clock::now();
            auto commands = std::make_shared<engine_commands>();
            control_.planner().set_fleet_data_current(is_data_current);
            step(control_, now, *commands);
            control_.advance(now, *commands);
            const auto wakeup = control_.next_wakeup();
            asio::post(context_, [this, commands, wakeup] {
                execute(std::move(*commands));
                wake_at(wakeup);
            });
        });
}

void engine_driver::wake_at(std::optional<steady_time> time) {
    if (!time) {
        wake_timer_.cancel();
        return;
    }
    wake_timer_.expires_at(*time);
    wake_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            post_step([](engine_control&, steady_time, engine_commands&) {});
        }
    });
}

void engine_driver::on_gained(const held_term& term) {
    statistics_.term = term.revision;
    gained_at_ = std::chrono::steady_clock::now();
    loaded_jobs_.clear();
    if (term.revision != last_term_) {
        last_term_ = term.revision;
        begin_takeover();
    }
    post_step(
        [fencing = term.revision, delays = find_order_delays()](
            engine_control& control, steady_time now, engine_commands& out) {
            control.on_term(fencing, delays, now, out);
        });
    on_jobs_changed();
}

void engine_driver::on_lost(term_end reason) {
    statistics_.term = 0;
    if (reason == term_end::suspended) {
        post_step(
            [](engine_control& control, steady_time now, engine_commands& out) {
                control.on_term(std::nullopt, {}, now, out);
            });
        return;
    }
    loaded_jobs_.clear();
    planned_jobs_.clear();
    has_dropped_runs_ = true;
    post_step(
        [](engine_control& control, steady_time now, engine_commands& out) {
            control.planner().drop_all(out.planner);
            control.on_term(std::nullopt, {}, now, out);
        });
}

bool engine_driver::is_own_job(const job_record& record) const {
    if (fleet_.routes) {
        for (const route_rule& route : fleet_.routes->configuration().routes) {
            if (route.name == record.route && !route.services.empty()) {
                return route.services.front().service == options_.service;
            }
        }
    }
    return record.service == options_.service;
}

bool engine_driver::is_open(const job_record& record) const {
    return !record.is_ended && is_own_job(record);
}

job_settings engine_driver::job_settings_of(const job_record& record) const {
    job_settings settings;
    if (!fleet_.routes) {
        return settings;
    }
    for (const route_rule& route : fleet_.routes->configuration().routes) {
        if (route.name != record.route) {
            continue;
        }
        settings.target = route.batch_target;
        settings.time_to_live = route.batch_time_to_live;
        settings.max_attempts = std::max<std::uint32_t>(1, route.max_attempts);
        settings.priority = fleet_.routes->keys()
                                .rank_of(record.organisation)
                                .value_or(route.priority);
        settings.is_single_version = route.is_single_version;
    }
    settings.has_organisations = fleet_.routes->has_organisations();
    return settings;
}

void engine_driver::on_jobs_changed() {
    std::vector<job_id> ended;
    std::vector<job_id> moved;
    for (const auto& [id, record] : jobs_.records()) {
        if (is_open(record)) {
            if (term_.term() && !loaded_jobs_.contains(id) &&
                loading_jobs_.insert(id).second) {
                asio::co_spawn(context_, load_job(record), asio::detached);
            }
            continue;
        }
        if (record.service == options_.service && !is_own_job(record)) {
            moved_jobs_.insert(id);
        }
        loaded_jobs_.erase(id);
        if (planned_jobs_.erase(id) > 0) {
            (record.is_ended ? ended : moved).push_back(id);
            log_.write(
                log_event::job_dropped,
                "job=" + id.text() + " service=" + options_.service.text() +
                    " reason=" + (record.is_ended ? "ended" : "other_service"));
        }
    }
    std::erase_if(moved_jobs_, [this](const job_id& id) {
        return !jobs_.records().contains(id);
    });
    if (ended.empty() && moved.empty()) {
        return;
    }
    post_step([ended, moved](engine_control& control, steady_time,
                             engine_commands& out) {
        for (const job_id& id : ended) {
            control.planner().on_job_ended(id, out.planner);
        }
        for (const job_id& id : moved) {
            control.planner().remove_job(id, out.planner);
        }
    });
}

asio::awaitable<void> engine_driver::load_job(job_record record) {
    while (term_.term()) {
        const store_revision term = term_.term()->revision;
        auto loaded = co_await jobs_.load(record, term);
        saved_items saved;
        if (loaded) {
            saved = co_await jobs_.load_progress(record.id);
        }
        // The job, its route and the term may have changed during the calls.
        // From here on nothing suspends until the planner has the job.
        const auto known = jobs_.records().find(record.id);
        if (known == jobs_.records().end() || !is_open(known->second)) {
            log_.write(log_event::job_dropped,
                       "job=" + record.id.text() + " service=" +
                           options_.service.text() + " reason=\"it " +
                           (known == jobs_.records().end() ? "was removed"
                            : known->second.is_ended       ? "ended"
                                                           : "moved") +
                           " while it was loaded\"");
            if (known != jobs_.records().end() && known->second.is_ended) {
                // The planner may hold runs of the job from its predecessor.
                post_step([id = record.id](engine_control& control, steady_time,
                                           engine_commands& out) {
                    control.planner().on_job_ended(id, out.planner);
                });
            }
            break;
        }
        if (!loaded) {
            if (loaded.reason().code == result_code::invalid_document) {
                break;
            }
            co_await pause(context_, load_retry_delay);
            continue;
        }
        if (!term_.term() || term_.term()->revision != term) {
            continue;
        }
        const auto age = std::chrono::system_clock::now() -
                         std::chrono::system_clock::time_point(
                             std::chrono::milliseconds(record.accepted_at));
        const steady_time accepted =
            std::chrono::steady_clock::now() -
            std::chrono::duration_cast<steady_time::duration>(
                std::max(age, decltype(age)::zero()));
        loaded_jobs_.insert(record.id);
        planned_jobs_.insert(record.id);
        log_.write(log_event::job_loaded,
                   "job=" + record.id.text() + " term=" + std::to_string(term) +
                       " items=" + std::to_string(loaded->job->items.size()) +
                       " listed=" + std::to_string(loaded->listed.size()));
        post_step([record, accepted, saved = std::move(saved),
                   loaded = std::move(*loaded),
                   settings = job_settings_of(record)](engine_control& control,
                                                       steady_time now,
                                                       engine_commands& out) {
            control.planner().on_job(record, loaded.job, settings,
                                     loaded.listed, saved.texts, accepted, now,
                                     out.planner);
            control.planner().on_saved_failures(record.id, saved.failures);
        });
        report_demand();
        break;
    }
    loading_jobs_.erase(record.id);
}

void engine_driver::on_fleet_changed() {
    std::vector<upstream_entry> own;
    for (const upstream_entry& entry : fleet_.upstreams) {
        if (entry.service == options_.service) {
            own.push_back(entry);
        }
    }
    engine_settings settings;
    std::size_t scoring_slots = 0;
    if (fleet_.routes) {
        const service_rule* const rule =
            fleet_.routes->find_service(options_.service);
        if (rule != nullptr && rule->engine) {
            settings.cache_tokens = rule->engine->cache_tokens;
            settings.tokens_per_event =
                std::max<std::uint64_t>(1, rule->engine->tokens_per_event);
        }
        if (fleet_.routes->has_direct_route(options_.service)) {
            settings.limit_fraction = shared_limit_fraction;
        }
        for (const service_rule& service :
             fleet_.routes->configuration().services) {
            scoring_slots +=
                service.engine ? 0 : fleet_.pool.slots_of(service.name);
        }
    }
    settings.scoring_slots = std::max<std::size_t>(
        1, static_cast<std::size_t>(max_scoring_share *
                                    static_cast<double>(scoring_slots)));
    post_step([own = std::move(own), settings](engine_control& control,
                                               steady_time now,
                                               engine_commands& out) {
        control.on_upstreams(own, settings, now, out);
    });
    on_jobs_changed();
}

void engine_driver::on_wanted_version(const std::string& model,
                                      weight_version version) {
    post_step([model, version](engine_control& control, steady_time,
                               engine_commands&) {
        control.rollout().on_target_version(model, version);
    });
}

const upstream_entry*
engine_driver::find_upstream(const upstream_id& id) const {
    const auto found = std::find_if(
        fleet_.upstreams.begin(), fleet_.upstreams.end(),
        [&](const upstream_entry& entry) { return entry.id == id; });
    return found == fleet_.upstreams.end() ? nullptr : &*found;
}

void engine_driver::execute(engine_commands commands) {
    // The texts of all jobs share a write.
    std::vector<save_progress> texts;
    for (planner_command& command : commands.planner) {
        if (auto* const text = std::get_if<save_progress>(&command)) {
            texts.push_back(std::move(*text));
            continue;
        }
        std::visit(
            [this](auto& one) {
                if constexpr (!std::is_same_v<decltype(one), save_progress&>) {
                    execute_one(one);
                }
            },
            command);
    }
    if (!texts.empty()) {
        asio::co_spawn(context_, save(std::move(texts)), asio::detached);
    }
    send_orders();
    for (version_order& order : commands.rollout.orders) {
        asio::co_spawn(context_, send_order(std::move(order)), asio::detached);
    }
    for (const upstream_id& upstream : commands.rollout.load_report_requests) {
        asio::co_spawn(context_, request_load(upstream), asio::detached);
    }
}

void engine_driver::execute_one(discard_text& command) {
    log_.write(log_event::item_text_discarded,
               "item=" + command.item.text() + " job=" + command.job.text() +
                   " software=" + command.origin.software.text() +
                   " events=" + std::to_string(command.events));
}

void engine_driver::execute_one(item_refusal& refusal) {
    ++statistics_.items_refused;
    log_.write(
        log_event::item_refused,
        "item=" + refusal.item.text() + " job=" + refusal.job.text() +
            " upstream=" + refusal.upstream.text() +
            " tokens=" + std::to_string(refusal.cache_tokens) +
            " capacity=" + std::to_string(refusal.capacity) +
            " other_runs=" + std::to_string(refusal.other_runs) +
            " other_tokens=" + std::to_string(refusal.other_cache_tokens) +
            " engine_pause_ms=" + std::to_string(refusal.engine_pause.count()) +
            " item_refusals=" + std::to_string(refusal.item_refusals) +
            " job_on_probation=" +
            (refusal.is_job_on_probation ? "yes" : "no"));
}

void engine_driver::execute_one(probation_change& change) {
    log_.write(log_event::items_on_probation,
               "job=" + change.job.text() +
                   " on_probation=" + std::to_string(change.on_probation) +
                   " waiting=" + std::to_string(change.waiting) +
                   " capacity=" + std::to_string(change.capacity));
}

void engine_driver::execute_one(reserve_engine& command) {
    ++statistics_.engines_reserved;
    log_.write(log_event::engine_reserved,
               "item=" + command.item.text() + " job=" + command.job.text() +
                   " upstream=" + command.upstream.text() +
                   " tokens=" + std::to_string(command.cache_tokens));
}

void engine_driver::execute_one(order_change& change) {
    log_.write(change.job.is_empty() ? log_event::engines_shared
                                     : log_event::job_standing_changed,
               "service=" + options_.service.text() + " " + to_text(change));
}

asio::awaitable<void> engine_driver::save(std::vector<save_progress> texts) {
    const auto term = term_.term();
    if (term) {
        co_await jobs_.save_progress(*term, std::move(texts));
    }
}

void engine_driver::execute_one(commit_results& command) {
    asio::co_spawn(context_, commit(std::move(command)), asio::detached);
}

asio::awaitable<void> engine_driver::commit(commit_results results) {
    const job_id job = results.job;
    const std::size_t count = results.results.size();
    const std::size_t first = results.first_position;
    const std::uint64_t number = results.number;
    const auto term = term_.term();
    commit_end end = commit_end::not_listed;
    ++commits_in_progress_;
    if (term) {
        end = co_await jobs_.commit(*term, std::move(results));
    }
    --commits_in_progress_;
    const bool is_listed = end == commit_end::listed;
    statistics_.results_listed += is_listed ? count : 0;
    log_.write(is_listed ? log_event::results_listed
                         : log_event::results_not_listed,
               "job=" + job.text() + " first=" + std::to_string(first) +
                   " count=" + std::to_string(count) +
                   " term=" + (term ? std::to_string(term->revision) : "none") +
                   (end == commit_end::superseded  ? " reason=superseded"
                    : end == commit_end::term_lost ? " reason=term_lost"
                                                   : ""));
    post_step([job, number, end](engine_control& control, steady_time now,
                                 engine_commands& out) {
        control.planner().on_committed(job, number, end, now, out.planner);
    });
    if (end == commit_end::term_lost && term_.term() &&
        term_.term()->revision == term->revision) {
        // The store removed the term's key, and no watch has reported it yet.
        term_.on_condition_failed();
    }
    if (end == commit_end::superseded) {
        co_await pause(context_, load_retry_delay);
        loaded_jobs_.erase(job);
        on_jobs_changed();
    }
}

asio::awaitable<void> engine_driver::drain(std::chrono::milliseconds time) {
    is_draining_ = true;
    post_step([](engine_control& control, steady_time, engine_commands&) {
        control.planner().stop_starting();
    });
    // Runs continue under the next planner, so the drain waits only for results
    // that are being listed and for orders that are under way.
    const steady_time end = std::chrono::steady_clock::now() + time;
    do {
        co_await pause(context_, drain_check_interval);
    } while ((commits_in_progress_ > 0 || orders_in_progress_ > 0) &&
             std::chrono::steady_clock::now() < end);
    co_await term_.retire();
}

store_revision engine_driver::term_of(const job_id& job) const {
    const auto record = jobs_.records().find(job);
    if (!term_.is_held_now() || record == jobs_.records().end() ||
        !is_own_job(record->second)) {
        return 0;
    }
    // The term doesn't fence off the planners of other services.
    const bool has_moved =
        record->second.service != options_.service || moved_jobs_.contains(job);
    return has_moved ? 0 : term_.term()->revision;
}

engine_statistics engine_driver::statistics() const {
    return statistics_;
}

} // namespace savorydock
