#include "drivers/caller_http/step_runner.hpp"

#include "drivers/caller_http/answer_json.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Maximum number of runs of one step in flight. Within this limit, the queues
/// of the upstreams decide how many execute at once.
constexpr std::size_t max_runs = 256;
/// How often the trainer's connection and the deadline are checked.
constexpr std::chrono::milliseconds check_interval{200};
constexpr std::chrono::milliseconds review_interval{1'000};
/// How long a slot waits after a failed run.
constexpr std::chrono::milliseconds pause_after_failure{100};
/// Progress of a run is reported to the schedule once per this many tokens.
constexpr std::uint32_t tokens_per_report = 16;

json::object to_json(const finished_sample& sample) {
    return {
        {"group", sample.slot.group},
        {"index", sample.slot.index},
        {"attempt", sample.attempt},
        {"text", sample.text},
        {"versions", to_json(sample.versions)},
    };
}

slot_place to_place(const slot_id& slot) {
    return {.group = slot.group, .index = slot.index};
}

std::vector<std::uint64_t> hash_prefixes(const step_body& body) {
    std::vector<std::uint64_t> prefixes;
    prefixes.reserve(body.groups.size());
    for (const step_group& group : body.groups) {
        prefixes.push_back(hash_prefix(group.prompt));
    }
    return prefixes;
}

step_schedule_options make_schedule_options(const caller_request& request,
                                            const step_body& body) {
    const weights_rule& weights = request.service->document->weights;
    return {
        .group_size = body.group_size,
        .staleness_bound = weights.staleness_bound,
        .idle_weight = weights.idle_weight,
    };
}

} // namespace

step_runner::step_runner(caller_request request, step_body body,
                         step_session session, std::size_t worker,
                         traffic_services& services)
    : request_(std::move(request))
    , body_(std::move(body))
    , session_(std::move(session))
    , worker_(worker)
    , services_(services)
    , statistics_(
          services.statistics.at(worker)[request_.service->document->service])
    , schedule_(make_schedule_options(request_, body_), hash_prefixes(body_),
                statistics_.lengths, statistics_.forecast)
    , wake_timer_(services.contexts.at(worker).get()) {
    for (std::size_t slot = 0; slot < body_.held.size(); ++slot) {
        if (body_.held[slot]) {
            schedule_.finish(
                {.group = static_cast<std::uint32_t>(slot / body_.group_size),
                 .index = static_cast<std::uint32_t>(slot % body_.group_size)});
        }
    }
}

weight_version step_runner::newest_version() const {
    const auto view = services_.configuration.load();
    const service_in_force* const service =
        view ? view->find(request_.service->document->service) : nullptr;
    const weight_version configured =
        service != nullptr ? service->document->weights.version : 0;
    return std::max(configured, body_.newest_version);
}

slot_id step_runner::to_slot(slot_place place) const {
    const step_key& key = session_.options().key;
    return {.trainer = key.trainer,
            .step = key.step,
            .group = place.group,
            .index = place.index};
}

void step_runner::start_runs() {
    const steady_time now = std::chrono::steady_clock::now();
    statistics_.forecast.observe(newest_version(), now);
    std::vector<slot_place> deferred;
    while (active_runs_.size() < max_runs && session_.has_capacity()) {
        const auto start = schedule_.next(now);
        if (!start) {
            break;
        }
        const slot_id slot = to_slot(start->slot);
        const auto run = session_.run(slot);
        if (run) {
            start_run(*run, {});
        } else if (session_.is_settled(slot)) {
            schedule_.finish(start->slot);
        } else {
            // A dropped run of the slot has not ended yet.
            deferred.push_back(start->slot);
        }
    }
    for (const slot_place place : deferred) {
        schedule_.put_back(place);
    }
}

void step_runner::start_run(const slot_run& run,
                            std::vector<upstream_id> excluded) {
    const auto current_run = std::make_shared<active_run>();
    current_run->run = run;
    current_run->key = {.slot = to_place(run.slot), .run = next_key_++};
    active_runs_.emplace(current_run->key, current_run);
    schedule_.begin(current_run->key, statistics_.forecast.newest(),
                    std::chrono::steady_clock::now());
    asio::co_spawn(
        wake_timer_.get_executor(),
        shared_from_this()->run_slot(current_run, std::move(excluded)),
        asio::detached);
}

asio::awaitable<void>
step_runner::run_slot(std::shared_ptr<active_run> current_run,
                      std::vector<upstream_id> excluded) {
    const auto self = shared_from_this();
    const step_group& group = body_.groups.at(current_run->run.slot.group);
    answer_assembler answer(current_run->run.stream, current_run->run.attempt);
    generation_task task{
        .stream = current_run->run.stream,
        .prompt = group.prompt,
        .max_tokens = group.max_tokens,
        .seed = current_run->run.slot.index,
        .prefix_hash = hash_prefix(group.prompt),
        .expected_tokens = group.max_tokens,
        .excluded = std::move(excluded),
        .may_be_blocked = false,
        .on_upstream =
            [current_run](const upstream_id& upstream) {
                current_run->upstream = upstream;
            },
        .must_move =
            [current_run] {
                return std::exchange(current_run->must_move, false);
            },
        .next_attempt = [this, current_run]() -> attempt_number {
            const auto next = session_.resume(current_run->run);
            if (!next) {
                return 0;
            }
            current_run->run = *next;
            return next->attempt;
        },
        .sink = [this, current_run,
                 &answer](const stream_event&) -> asio::awaitable<bool> {
            if (answer.next_token() % tokens_per_report == 1) {
                schedule_.progress(current_run->key, answer.next_token(),
                                   std::chrono::steady_clock::now());
            }
            co_return !session_.result() && !current_run->must_move &&
                !current_run->is_dropped;
        },
    };
    const auto result =
        co_await run_generation(task, request_, worker_, answer, services_);
    if (!result) {
        asio::steady_timer pause(wake_timer_.get_executor(),
                                 pause_after_failure);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    end_run(*current_run, answer, result);
    wake_timer_.cancel();
}

void step_runner::end_run(const active_run& current_run,
                          const answer_assembler& answer,
                          const outcome<done>& result) {
    active_runs_.erase(current_run.key);
    result_code code = result.reason().code;
    if (result) {
        code = session_.end_run(current_run.run, answer);
    } else {
        // The runner cancelled this run itself, so the slot must not be
        // refused because of it.
        session_.fail_run(current_run.run,
                          code == result_code::cancelled_by_caller
                              ? result_code::failed_truncated
                              : code);
    }
    if (code == result_code::ok) {
        statistics_.lengths.learn(
            hash_prefix(body_.groups.at(current_run.key.slot.group).prompt),
            answer.next_token());
        schedule_.finish(current_run.key.slot);
        answered_.insert(current_run.key.slot);
        drop_others(current_run.key.slot);
        return;
    }
    schedule_.remove_run(current_run.key);
    if (code != result_code::cancelled_by_caller) {
        services_.log.write(log_event::sample_discarded,
                            "slot=" + to_text(current_run.run.slot) +
                                " result=" + std::string(name_of(code)));
    }
}

void step_runner::drop_others(slot_place place) {
    for (const auto& [key, current_run] : active_runs_) {
        current_run->is_dropped = current_run->is_dropped || key.slot == place;
    }
}

void step_runner::review_runs(steady_time now) {
    if (now < next_review_) {
        return;
    }
    next_review_ = now + review_interval;
    for (const straggler_action& action : schedule_.review(now)) {
        act_on(action);
    }
}

void step_runner::act_on(const straggler_action& action) {
    const auto found = active_runs_.find(action.run);
    if (found == active_runs_.end()) {
        return;
    }
    active_run& current_run = *found->second;
    if (action.kind == straggler_kind::restart) {
        current_run.is_dropped = true;
        return;
    }
    if (action.kind == straggler_kind::resume_elsewhere) {
        current_run.must_move = true;
        schedule_.begin(current_run.key, statistics_.forecast.newest(),
                        std::chrono::steady_clock::now());
        return;
    }
    const auto second = session_.hedge(current_run.run.slot);
    if (second) {
        services_.decisions.add(request_.id.text(),
                                {.kind = decision_kind::hedged,
                                 .upstream = current_run.upstream,
                                 .detail = to_text(current_run.run.slot)},
                                std::chrono::steady_clock::now());
        start_run(*second, {current_run.upstream});
    }
}

asio::awaitable<void> step_runner::hand_over(http_exchange& exchange) {
    while (auto sample = session_.next_hand_over(newest_version())) {
        answered_.erase(to_place(sample->slot));
        std::string chunk = to_server_sent_event(to_json(*sample));
        if (!co_await exchange.write_chunk(std::move(chunk))) {
            session_.lose_trainer();
            co_return;
        }
    }
    reopen_discarded();
}

void step_runner::reopen_discarded() {
    const std::uint32_t too_old = session_.counts().discarded_too_old;
    if (std::exchange(too_old_, too_old) == too_old) {
        return;
    }
    std::erase_if(answered_, [&](slot_place place) {
        if (!session_.is_waiting(to_slot(place))) {
            return false;
        }
        schedule_.reopen(place);
        return true;
    });
}

asio::awaitable<void> step_runner::wait_for_change() {
    wake_timer_.expires_after(check_interval);
    co_await wake_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

void step_runner::open() {
    const step_session_options& options = session_.options();
    services_.delivery.submit(
        step_opening{.key = options.key,
                     .epoch = options.epoch,
                     .on_newer_epoch = [weak = weak_from_this(),
                                        executor = wake_timer_.get_executor()](
                                           session_epoch epoch) {
                         asio::post(executor, [weak, epoch] {
                             if (const auto self = weak.lock()) {
                                 self->session_.observe_epoch(epoch);
                                 self->wake_timer_.cancel();
                             }
                         });
                     }});
}

void step_runner::close() {
    const step_session_options& options = session_.options();
    services_.delivery.submit(
        step_closing{.key = options.key, .epoch = options.epoch});
}

void step_runner::check_end(http_exchange& exchange) {
    if (exchange.is_caller_disconnected()) {
        session_.lose_trainer();
    }
    const steady_time now = std::chrono::steady_clock::now();
    if (now >= request_.deadline || now >= services_.hand_off_at.load()) {
        session_.pass_deadline();
    }
}

asio::awaitable<result_code> step_runner::serve(http_exchange& exchange) {
    open();
    while (!session_.result()) {
        start_runs();
        review_runs(std::chrono::steady_clock::now());
        co_await hand_over(exchange);
        if (session_.result()) {
            break;
        }
        co_await wait_for_change();
        check_end(exchange);
    }
    close();
    // Cancelled runs end at their next token, see `run_slot`.
    static_cast<void>(session_.take_cancelled());
    co_return *session_.result();
}

} // namespace savorydock
