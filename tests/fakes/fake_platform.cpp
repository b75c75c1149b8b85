#include "tests/fakes/fake_platform.hpp"

#include "tests/fakes/fake_platform_gateway.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <stdexcept>

namespace savorydock {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::chrono::milliseconds watch_poll_interval{5};
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

steady_time current_time() {
    return std::chrono::steady_clock::now();
}

asio::awaitable<void> sleep_for(std::chrono::milliseconds time) {
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

http_headers json_headers() {
    return {{"Content-Type", "application/json"}};
}

http_response json_response(unsigned status, const json::value& body) {
    return {.status = status,
            .headers = json_headers(),
            .body = json::serialize(body)};
}

http_response error_response(unsigned status, std::string_view text) {
    return json_response(status, json::object{{"error", text}, {"code", 5}});
}

std::string operation_of(std::string_view path) {
    if (path == "/v3/watch") {
        return "watch";
    }
    if (path.starts_with("/v3/lease/") || path == "/v3/kv/lease/revoke") {
        return "lease";
    }
    if (path == "/v3/kv/range") {
        return "range";
    }
    return path.starts_with("/v3/kv/") ? "txn" : "";
}

bool flag(const json::object& object, std::string_view name) {
    const json::value* const member = object.if_contains(name);
    return member != nullptr && member->as_bool();
}

std::uint32_t number(const json::object& object, std::string_view name) {
    const json::value* const member = object.if_contains(name);
    return member == nullptr ? 0 : member->to_number<std::uint32_t>();
}

platform_fault read_fault(const json::object& body) {
    platform_fault fault{
        .delay = std::chrono::milliseconds(number(body, "delay_ms")),
        .drop_answer_after_effect = flag(body, "drop_answer_after_effect"),
        .refuse = flag(body, "refuse"),
        .gap = flag(body, "gap"),
        .count = number(body, "count"),
    };
    if (const json::value* const operation = body.if_contains("op")) {
        fault.operation = operation->as_string();
    }
    return fault;
}

} // namespace

fake_platform::fake_platform()
    : server_(pool_, {},
              [this](http_exchange& exchange) { return handle(exchange); }) {}

fake_platform::~fake_platform() {
    pool_.stop();
}

outcome<endpoint> fake_platform::listen(const endpoint& address) {
    return server_.listen(address);
}

void fake_platform::add_fault(platform_fault fault) {
    const std::lock_guard lock(mutex_);
    faults_.push_back(std::move(fault));
}

void fake_platform::clear_faults() {
    const std::lock_guard lock(mutex_);
    faults_.clear();
}

std::uint64_t fake_platform::calls(const std::string& operation) const {
    const std::lock_guard lock(mutex_);
    const auto found = counts_.find(operation);
    return found == counts_.end() ? 0 : found->second;
}

std::optional<stored_value> fake_platform::find(const std::string& key) const {
    const std::lock_guard lock(mutex_);
    return store_.find(key);
}

store_revision fake_platform::put(const std::string& key,
                                  const std::string& value) {
    const std::lock_guard lock(mutex_);
    store_.begin();
    store_.put(key, value, 0);
    store_.commit();
    return store_.revision();
}

void fake_platform::compact(store_revision revision) {
    const std::lock_guard lock(mutex_);
    store_.compact(revision);
}

platform_fault fake_platform::consume_fault(const std::string& operation) {
    const std::lock_guard lock(mutex_);
    for (auto fault = faults_.begin(); fault != faults_.end(); ++fault) {
        if (fault->operation != "*" && fault->operation != operation) {
            continue;
        }
        platform_fault taken = *fault;
        if (fault->count != 0 && --fault->count == 0) {
            faults_.erase(fault);
        }
        return taken;
    }
    return {};
}

asio::awaitable<void> fake_platform::handle(http_exchange& exchange) {
    const std::string operation = operation_of(exchange.request().path());
    if (!operation.empty()) {
        co_await handle_call(exchange, operation);
        co_return;
    }
    co_await exchange.respond(handle_control_request(exchange.request()));
}

asio::awaitable<void> fake_platform::handle_call(http_exchange& exchange,
                                                 const std::string& operation) {
    {
        const std::lock_guard lock(mutex_);
        ++counts_[operation];
        ++counts_["*"];
    }
    const platform_fault fault = consume_fault(operation);
    if (fault.refuse) {
        co_await sleep_for(fault.delay);
        co_await exchange.respond(error_response(status_unavailable, "out"));
        co_return;
    }
    if (operation == "watch") {
        co_await stream_changes(exchange, fault);
        co_return;
    }
    // Half of the delay passes before the call takes effect, half after it.
    co_await sleep_for(fault.delay / 2);
    http_response response =
        execute(exchange.request().path(), exchange.request().body);
    co_await sleep_for(fault.delay - fault.delay / 2);
    if (!fault.drop_answer_after_effect) {
        co_await exchange.respond(std::move(response));
    }
}

http_response fake_platform::execute(std::string_view path,
                                     const std::string& body) {
    const std::lock_guard lock(mutex_);
    try {
        const json::value parsed = json::parse(body);
        const auto answer = execute_gateway_call(
            store_, path, parsed.as_object(), current_time());
        if (!answer) {
            return error_response(status_not_found, "Not Found");
        }
        return json_response(200, *answer);
    } catch (const std::out_of_range& error) {
        return error_response(status_not_found, error.what());
    } catch (const std::exception& error) {
        return error_response(status_bad_request, error.what());
    }
}

asio::awaitable<void>
fake_platform::stream_changes(http_exchange& exchange,
                              const platform_fault& fault) {
    const json::value body = json::parse(exchange.request().body);
    fake_watch watch = read_gateway_watch(body.as_object());
    co_await sleep_for(fault.delay / 2);
    json::object message;
    {
        const std::lock_guard lock(mutex_);
        watch.start = watch.start == 0 ? store_.revision() + 1 : watch.start;
        message = gateway_watch_created(store_, watch);
    }
    co_await exchange.begin_stream(200, json_headers());
    bool is_open =
        co_await exchange.write_chunk(json::serialize(message) + '\n') &&
        !message["result"].as_object().contains("canceled");
    while (is_open && !exchange.is_caller_disconnected()) {
        std::vector<fake_store_change> changes;
        {
            const std::lock_guard lock(mutex_);
            store_.expire(current_time());
            changes = store_.changes(watch.range, watch.start);
            watch.start = store_.revision() + 1;
            message = gateway_watch_events(store_, changes);
        }
        if (changes.empty()) {
            co_await sleep_for(watch_poll_interval);
            continue;
        }
        if (fault.drop_answer_after_effect) {
            co_return;
        }
        if (fault.gap) {
            break;
        }
        co_await sleep_for(fault.delay - fault.delay / 2);
        is_open =
            co_await exchange.write_chunk(json::serialize(message) + '\n');
    }
    co_await exchange.end_stream();
}

http_response
fake_platform::handle_control_request(const http_request& request) {
    const std::lock_guard lock(mutex_);
    if (request.path() == "/counts") {
        json::object counts;
        for (const auto& [operation, count] : counts_) {
            counts[operation == "*" ? "total" : operation] = count;
        }
        return json_response(200, counts);
    }
    if (request.path() != "/faults" || request.method != "POST") {
        return error_response(status_not_found, "Not Found");
    }
    try {
        const json::value body = json::parse(request.body);
        if (body.is_object()) {
            faults_.push_back(read_fault(body.as_object()));
            return json_response(200, json::object{});
        }
        std::vector<platform_fault> faults;
        for (const json::value& fault : body.as_array()) {
            faults.push_back(read_fault(fault.as_object()));
        }
        faults_ = std::move(faults);
        return json_response(200, json::object{});
    } catch (const std::exception& error) {
        return error_response(status_bad_request, error.what());
    }
}

} // namespace savorydock
