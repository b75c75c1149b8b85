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

/// Runs of one step in flight at most; the upstreams' queues do the rest.
constexpr std::size_t max_runs = 256;
/// How often the trainer's connection and the deadline are looked at.
constexpr std::chrono::milliseconds check_interval{200};
constexpr std::chrono::milliseconds review_interval{1'000};
/// How long a slot waits after a run that brought nothing.
constexpr std::chrono::milliseconds pause_after_failure{100};
/// The schedule hears of every so many tokens of a run.
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
    , knowledge_(
          services.knowledge.at(worker)[request_.service->document->service])
    , schedule_(make_schedule_options(request_, body_), hash_prefixes(body_),
                knowledge_.lengths, knowledge_.forecast)
    , change_(services.contexts.at(worker).get()) {
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
    knowledge_.forecast.observe(newest_version(), now);
    std::vector<slot_place> deferred;
    while (live_.size() < max_runs && session_.has_room()) {
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
            // A dropped run of the slot has not come to its end yet.
            deferred.push_back(start->slot);
        }
    }
    for (const slot_place place : deferred) {
        schedule_.put_back(place);
    }
}

void step_runner::start_run(const slot_run& run,
                            std::vector<upstream_id> excluded) {
    const auto live = std::make_shared<live_run>();
    live->run = run;
    live->key = {.slot = to_place(run.slot), .run = next_key_++};
    live_.emplace(live->key, live);
    schedule_.begin(live->key, knowledge_.forecast.newest(),
                    std::chrono::steady_clock::now());
    asio::co_spawn(change_.get_executor(),
                   shared_from_this()->run_slot(live, std::move(excluded)),
                   asio::detached);
}

asio::awaitable<void> step_runner::run_slot(std::shared_ptr<live_run> live,
                                            std::vector<upstream_id> excluded) {
    const auto self = shared_from_this();
    const step_group& group = body_.groups.at(live->run.slot.group);
    answer_assembler answer(live->run.stream, live->run.attempt);
    generation_order order{
        .stream = live->run.stream,
        .prompt = group.prompt,
        .max_tokens = group.max_tokens,
        .seed = live->run.slot.index,
        .prefix_hash = hash_prefix(group.prompt),
        .expected_tokens = group.max_tokens,
        .excluded = std::move(excluded),
        .on_upstream =
            [live](const upstream_id& upstream) { live->upstream = upstream; },
        .must_move = [live] { return std::exchange(live->must_move, false); },
        .next_attempt = [this, live]() -> attempt_number {
            const auto next = session_.resume(live->run);
            if (!next) {
                return 0;
            }
            live->run = *next;
            return next->attempt;
        },
        .sink = [this, live,
                 &answer](const stream_event&) -> asio::awaitable<bool> {
            if (answer.next_token() % tokens_per_report == 1) {
                schedule_.progress(live->key, answer.next_token(),
                                   std::chrono::steady_clock::now());
            }
            co_return !session_.result() && !live->must_move &&
                !live->is_dropped;
        },
    };
    const auto result =
        co_await run_generation(order, request_, worker_, answer, services_);
    if (!result) {
        asio::steady_timer pause(change_.get_executor(), pause_after_failure);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    end_run(*live, answer, result);
    change_.cancel();
}

void step_runner::end_run(const live_run& live, const answer_assembler& answer,
                          const outcome<done>& result) {
    live_.erase(live.key);
    result_code code = result.reason().code;
    if (result) {
        code = session_.end_run(live.run, answer);
    } else {
        // A run that we ended ourselves is no reason to refuse its slot.
        session_.fail_run(live.run, code == result_code::cancelled_by_caller
                                        ? result_code::failed_truncated
                                        : code);
    }
    if (code == result_code::ok) {
        knowledge_.lengths.learn(
            hash_prefix(body_.groups.at(live.key.slot.group).prompt),
            answer.next_token());
        schedule_.finish(live.key.slot);
        answered_.insert(live.key.slot);
        drop_others(live.key.slot);
        return;
    }
    schedule_.remove_run(live.key);
    if (code != result_code::cancelled_by_caller) {
        services_.log.write(log_event::sample_discarded,
                            "slot=" + to_text(live.run.slot) +
                                " result=" + std::string(name_of(code)));
    }
}

void step_runner::drop_others(slot_place place) {
    for (const auto& [key, live] : live_) {
        live->is_dropped = live->is_dropped || key.slot == place;
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
    const auto found = live_.find(action.run);
    if (found == live_.end()) {
        return;
    }
    live_run& live = *found->second;
    if (action.kind == straggler_kind::restart) {
        live.is_dropped = true;
        return;
    }
    if (action.kind == straggler_kind::resume_elsewhere) {
        live.must_move = true;
        schedule_.begin(live.key, knowledge_.forecast.newest(),
                        std::chrono::steady_clock::now());
        return;
    }
    const auto second = session_.hedge(live.run.slot);
    if (second) {
        services_.decisions.add(request_.id.text(),
                                {.kind = decision_kind::hedged,
                                 .upstream = live.upstream,
                                 .detail = to_text(live.run.slot)},
                                std::chrono::steady_clock::now());
        start_run(*second, {live.upstream});
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
    change_.expires_after(check_interval);
    co_await change_.async_wait(asio::as_tuple(asio::use_awaitable));
}

void step_runner::open() {
    const step_session_options& options = session_.options();
    services_.delivery.submit(
        step_opening{.key = options.key,
                     .epoch = options.epoch,
                     .on_newer_epoch = [weak = weak_from_this(),
                                        executor = change_.get_executor()](
                                           session_epoch epoch) {
                         asio::post(executor, [weak, epoch] {
                             if (const auto self = weak.lock()) {
                                 self->session_.observe_epoch(epoch);
                                 self->change_.cancel();
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
    // Runs that no longer count end at their next token, see `run_slot`.
    static_cast<void>(session_.take_cancelled());
    co_return *session_.result();
}

} // namespace savorydock
