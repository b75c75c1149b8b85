#include "tests/fakes/fake_engine.hpp"

#include "core/object_reader.hpp"
#include "tests/fakes/fake_answer.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <cstdlib>
#include <functional>

namespace savorydock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::int64_t default_tokens = 16;
constexpr std::int64_t max_token_count = 100'000;
constexpr integer_range token_range{1, max_token_count};
constexpr integer_range any_number{0, std::int64_t{1} << 60};
constexpr std::string_view stream_path = "/v1/streams/";

asio::awaitable<void> sleep_for(std::chrono::milliseconds time) {
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

struct completion_call {
    std::string id;
    std::string prompt;
    std::uint32_t tokens = 0;
    std::uint32_t first = 0;
    std::uint64_t attempt = 0;
    std::uint32_t seed = 0;
};

outcome<completion_call> read_call(const std::string& body) {
    const auto parsed = parse_commented_json(body);
    if (!parsed || !parsed->is_object()) {
        return failure{result_code::not_run_bad_request, "not an object"};
    }
    std::vector<document_fault> faults;
    object_reader reader(*parsed, "", faults);
    completion_call call{
        .id = reader.text("stream_id", "none"),
        .prompt = reader.text("prompt"),
        .tokens = static_cast<std::uint32_t>(
            reader.integer("max_tokens", token_range, default_tokens)),
        .first = static_cast<std::uint32_t>(
            reader.integer("resume_from", any_number, 0)),
        .attempt = static_cast<std::uint64_t>(
            reader.integer("attempt", any_number, 0)),
        .seed =
            static_cast<std::uint32_t>(reader.integer("seed", any_number, 0)),
    };
    if (!faults.empty()) {
        return failure{result_code::not_run_bad_request, to_text(faults)};
    }
    return call;
}

std::string to_event(const json::value& value) {
    return "data: " + json::serialize(value) + "\n\n";
}

} // namespace

fake_engine::fake_engine(weight_version version, engine_faults faults)
    : version_(version)
    , faults_(std::move(faults))
    , server_(pool_, {},
              [this](http_exchange& exchange) { return handle(exchange); }) {}

outcome<endpoint> fake_engine::listen(const endpoint& address) {
    return server_.listen(address);
}

std::string fake_engine::token_at(const std::string& prompt, std::uint32_t seed,
                                  std::uint32_t position) {
    const std::size_t hash = std::hash<std::string>{}(
        prompt + '#' + std::to_string(seed) + '#' + std::to_string(position));
    return " t" + std::to_string(hash % 1000);
}

weight_version fake_engine::version() const {
    const std::lock_guard lock(mutex_);
    return version_;
}

std::map<std::string, std::uint32_t> fake_engine::begun() const {
    const std::lock_guard lock(mutex_);
    return begun_;
}

void fake_engine::set_faults(const engine_faults& faults) {
    const std::lock_guard lock(mutex_);
    faults_ = faults;
}

asio::awaitable<void> fake_engine::handle(http_exchange& exchange) {
    const http_request& request = exchange.request();
    const std::string_view path = request.path();
    if (path == "/v1/completions") {
        co_await complete(exchange);
    } else if (path == "/v1/orders") {
        co_await order(exchange);
    } else if (path == "/v1/state" || path == "/v1/load") {
        co_await send_state(exchange);
    } else if (path.starts_with(stream_path) && request.method == "DELETE") {
        co_await cancel(exchange);
    } else if (path == "/faults") {
        co_await change_faults(exchange);
    } else {
        co_await send_error(exchange, 404, "no such path");
    }
}

bool fake_engine::consume_cut(std::uint32_t position) {
    const std::lock_guard lock(mutex_);
    if (faults_.cut_after == 0 || faults_.cut_count == 0 ||
        position != faults_.cut_after) {
        return false;
    }
    --faults_.cut_count;
    return true;
}

bool fake_engine::consume_cancel(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return cancelled_.erase(id) > 0;
}

asio::awaitable<void> fake_engine::complete(http_exchange& exchange) {
    const auto call = read_call(exchange.request().body);
    if (!call) {
        co_await send_error(exchange, 400, call.reason().detail);
        co_return;
    }
    engine_faults faults;
    {
        const std::lock_guard lock(mutex_);
        faults = faults_;
        if (!faults.is_leaving) {
            ++begun_[call->prompt];
            ++running_;
        }
    }
    if (faults.is_leaving) {
        co_await send_error(exchange, 503, "leaving", true);
        co_return;
    }
    if (!faults.crash_on.empty() &&
        call->prompt.find(faults.crash_on) != std::string::npos) {
        std::_Exit(EXIT_FAILURE);
    }
    http_headers headers{{"Content-Type", "text/event-stream"}};
    bool is_open = co_await exchange.begin_stream(200, std::move(headers));
    for (std::uint32_t i = call->first; is_open && i < call->tokens; ++i) {
        co_await sleep_for(faults.token_delay);
        json::object event{{"id", call->id},
                           {"attempt", call->attempt},
                           {"index", i},
                           {"text", token_at(call->prompt, call->seed, i)}};
        if (!faults.has_no_version) {
            event["version"] = version();
        }
        is_open = co_await exchange.write_chunk(to_event(std::move(event))) &&
                  !consume_cut(i + 1) && !consume_cancel(call->id);
    }
    {
        const std::lock_guard lock(mutex_);
        --running_;
    }
    if (!is_open) {
        co_return;
    }
    json::object last{{"id", call->id},
                      {"attempt", call->attempt},
                      {"finish_reason", "stop"},
                      {"tokens", call->tokens}};
    std::string end = to_event(std::move(last)) + "data: [DONE]\n\n";
    co_await exchange.write_chunk(std::move(end));
    co_await exchange.end_stream();
}

asio::awaitable<void> fake_engine::order(http_exchange& exchange) {
    std::vector<document_fault> faults;
    const auto parsed = parse_commented_json(exchange.request().body);
    if (!parsed) {
        co_await send_error(exchange, 400, "not JSON");
        co_return;
    }
    object_reader reader(*parsed, "", faults);
    const auto target_version =
        static_cast<weight_version>(reader.integer("version", any_number));
    const auto fencing =
        static_cast<fencing_number>(reader.integer("fencing", any_number, 0));
    bool is_outdated = false;
    bool is_failing = false;
    bool is_response_lost = false;
    std::chrono::milliseconds time{0};
    {
        const std::lock_guard lock(mutex_);
        is_outdated = !faults_.ignores_fencing && fencing < fencing_;
        if (!is_outdated) {
            fencing_ = std::max(fencing_, fencing);
            loading_ = target_version;
            is_failing = faults_.failing_swaps > 0;
            faults_.failing_swaps -= is_failing ? 1 : 0;
            is_response_lost = faults_.lost_order_answers > 0;
            faults_.lost_order_answers -= is_response_lost ? 1 : 0;
        }
        time = is_failing ? faults_.swap_time / 2 : faults_.swap_time;
    }
    if (is_outdated) {
        json::object seen{{"fencing", fencing_}};
        co_await send_json(exchange, 409, std::move(seen));
        co_return;
    }
    co_await sleep_for(time);
    {
        const std::lock_guard lock(mutex_);
        version_ = is_failing ? version_ : target_version;
        loading_ = 0;
    }
    if (is_response_lost) {
        co_return;
    }
    if (is_failing) {
        co_await send_error(exchange, 500, "swap failed");
        co_return;
    }
    co_await send_state(exchange);
}

asio::awaitable<void> fake_engine::send_state(http_exchange& exchange) {
    json::object state;
    {
        const std::lock_guard lock(mutex_);
        state = {{"version", version_},          {"loading", loading_},
                 {"fencing", fencing_},          {"role", "generate"},
                 {"running", running_},          {"waiting", 0},
                 {"leaving", faults_.is_leaving}};
    }
    co_await send_json(exchange, 200, std::move(state));
}

asio::awaitable<void> fake_engine::cancel(http_exchange& exchange) {
    {
        const std::lock_guard lock(mutex_);
        cancelled_.emplace(
            exchange.request().path().substr(stream_path.size()));
    }
    co_await send_json(exchange, 200, json::object());
}

asio::awaitable<void> fake_engine::change_faults(http_exchange& exchange) {
    std::vector<document_fault> problems;
    const auto parsed = parse_commented_json(exchange.request().body);
    if (!parsed) {
        co_await send_error(exchange, 400, "not JSON");
        co_return;
    }
    object_reader reader(*parsed, "", problems);
    const auto number = [&](std::string_view name, std::int64_t fallback) {
        return static_cast<std::uint32_t>(
            reader.integer(name, any_number, fallback));
    };
    const engine_faults defaults;
    engine_faults faults{
        .crash_on = reader.has("crash_on") ? reader.text("crash_on") : "",
        .cut_after = number("cut_after", 0),
        .cut_count = number("cut_count", 0),
        .has_no_version = reader.boolean("no_version", false),
        .failing_swaps = number("failing_swaps", 0),
        .ignores_fencing = reader.boolean("ignores_fencing", false),
        .is_leaving = reader.boolean("leaving", false),
        .lost_order_answers = number("lost_order_answers", 0),
        .token_delay = reader.milliseconds("token_delay_ms", any_number,
                                           defaults.token_delay),
        .swap_time =
            reader.milliseconds("swap_ms", any_number, defaults.swap_time),
    };
    reader.finish();
    if (!problems.empty()) {
        co_await send_error(exchange, 400, to_text(problems));
        co_return;
    }
    set_faults(faults);
    co_await send_json(exchange, 200, json::object());
}

} // namespace savorydock
