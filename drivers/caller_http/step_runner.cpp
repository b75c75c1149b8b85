#include "drivers/caller_http/step_runner.hpp"

#include "drivers/caller_http/answer_json.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Runs of one step in flight at most; the upstreams' queues do the rest.
constexpr std::uint32_t max_runs = 256;
/// How often the trainer's connection and the deadline are looked at.
constexpr std::chrono::milliseconds check_interval{200};
/// How long a slot waits after a run that brought nothing.
constexpr std::chrono::milliseconds pause_after_failure{100};

json::object to_json(const finished_sample& sample) {
    return {
        {"group", sample.slot.group},
        {"index", sample.slot.index},
        {"attempt", sample.attempt},
        {"text", sample.text},
        {"versions", to_json(sample.versions)},
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
    , change_(services.contexts.at(worker).get()) {}

weight_version step_runner::newest_version() const {
    const auto view = services_.configuration.load();
    const service_in_force* const service =
        view ? view->find(request_.service->document->service) : nullptr;
    const weight_version configured =
        service != nullptr ? service->document->weights.version : 0;
    return std::max(configured, body_.newest_version);
}

void step_runner::start_runs() {
    while (running_ < max_runs) {
        const auto run = session_.next_run();
        if (!run) {
            return;
        }
        ++running_;
        asio::co_spawn(change_.get_executor(),
                       shared_from_this()->run_slot(*run), asio::detached);
    }
}

asio::awaitable<void> step_runner::run_slot(slot_run run) {
    const auto self = shared_from_this();
    const step_group& group = body_.groups.at(run.slot.group);
    answer_assembler answer(run.stream, run.attempt);
    generation_order order{
        .stream = run.stream,
        .prompt = group.prompt,
        .max_tokens = group.max_tokens,
        .seed = run.slot.index,
        .prefix_hash = hash_prefix(group.prompt),
        .expected_tokens = group.max_tokens,
        .next_attempt = [&]() -> attempt_number {
            const auto next = session_.resume(run);
            if (!next) {
                return 0;
            }
            run = *next;
            return next->attempt;
        },
        .sink = [this](const stream_event&) -> asio::awaitable<bool> {
            co_return !session_.result().has_value();
        },
    };
    const auto result =
        co_await run_generation(order, request_, worker_, answer, services_);
    if (result) {
        const result_code code = session_.end_run(run, answer);
        if (code != result_code::ok) {
            services_.log.write(log_event::sample_discarded,
                                "slot=" + to_text(run.slot) +
                                    " result=" + std::string(name_of(code)));
        }
    } else {
        asio::steady_timer pause(change_.get_executor(), pause_after_failure);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        session_.fail_run(run, result.reason().code);
    }
    --running_;
    change_.cancel();
}

asio::awaitable<void> step_runner::hand_over(http_exchange& exchange) {
    while (auto sample = session_.next_hand_over(newest_version())) {
        std::string chunk = to_server_sent_event(to_json(*sample));
        if (!co_await exchange.write_chunk(std::move(chunk))) {
            session_.lose_trainer();
            co_return;
        }
    }
}

asio::awaitable<void> step_runner::wait_for_change() {
    change_.expires_after(check_interval);
    co_await change_.async_wait(asio::as_tuple(asio::use_awaitable));
}

void step_runner::open() {
    const step_session_options& options = session_.options();
    services_.delivery.submit(step_opening{
        .key = options.key,
        .epoch = options.epoch,
        .hear_epoch = [weak = weak_from_this(),
                       executor = change_.get_executor()](session_epoch epoch) {
            asio::post(executor, [weak, epoch] {
                if (const auto self = weak.lock()) {
                    self->session_.hear_epoch(epoch);
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

asio::awaitable<result_code> step_runner::serve(http_exchange& exchange) {
    open();
    while (!session_.result()) {
        start_runs();
        co_await hand_over(exchange);
        if (session_.result()) {
            break;
        }
        co_await wait_for_change();
        if (exchange.is_caller_gone()) {
            session_.lose_trainer();
        }
        const steady_time now = std::chrono::steady_clock::now();
        if (now >= request_.deadline || now >= services_.hand_off_at.load()) {
            session_.pass_deadline();
        }
    }
    close();
    static_cast<void>(session_.take_cancelled());
    co_return *session_.result();
}

} // namespace savorydock
