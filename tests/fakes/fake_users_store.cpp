#include "tests/fakes/fake_users_store.hpp"

#include "core/base64.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/url/parse.hpp>

#include <stdexcept>

namespace savorydock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds watch_poll_interval{5};
/// Sent as something that is not base64.
constexpr std::string_view unreadable_value = "unreadable";

std::string query(const http_request& request, std::string_view name) {
    const auto target = boost::urls::parse_origin_form(request.target);
    if (!target) {
        return {};
    }
    const auto parameters = target->params();
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::string() : (*found).value;
}

json::object to_json(const stored_value& value) {
    return {{"key", value.key},
            {"value", value.value == unreadable_value ? std::string("*")
                                                      : to_base64(value.value)},
            {"revision", value.modified},
            {"created", value.created},
            {"lease", value.lease}};
}

http_response make(unsigned status, const json::object& body = {}) {
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = json::serialize(body)};
}

} // namespace

fake_users_store::fake_users_store()
    : server_(pool_, caller_limits{},
              [this](http_exchange& exchange) { return handle(exchange); }) {
    const auto bound = server_.listen({.address = "127.0.0.1", .port = 0});
    if (!bound) {
        throw std::runtime_error(bound.reason().detail);
    }
    address_ = *bound;
}

fake_users_store::~fake_users_store() {
    server_.stop_accepting();
    pool_.stop();
}

void fake_users_store::fail_transactions(store_fault fault, std::size_t count) {
    const std::lock_guard lock(mutex_);
    fault_ = fault;
    faults_left_ = count;
}

void fake_users_store::write(const std::string& key, const std::string& value,
                             std::uint64_t lease) {
    stored_value& stored = values_[key];
    stored.key = key;
    stored.value = value;
    stored.lease = lease;
    stored.modified = ++revision_;
    stored.created = stored.created == 0 ? revision_ : stored.created;
    history_[revision_] = {stored, false};
}

void fake_users_store::erase(const std::string& key) {
    if (values_.erase(key) > 0) {
        ++revision_;
        history_[revision_] = {{.key = key, .modified = revision_}, true};
    }
}

void fake_users_store::put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    write(key, value, 0);
}

void fake_users_store::put_without_history(const std::string& key,
                                           const std::string& value) {
    const std::lock_guard lock(mutex_);
    write(key, value, 0);
    history_.erase(revision_);
}

void fake_users_store::put_unreadable(const std::string& key) {
    put(key, std::string(unreadable_value));
}

void fake_users_store::remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    erase(key);
}

void fake_users_store::drop_history() {
    const std::lock_guard lock(mutex_);
    history_.clear();
    oldest_ = revision_;
}

void fake_users_store::end_all_leases() {
    const std::lock_guard lock(mutex_);
    leases_.clear();
    const auto all = values_;
    for (const auto& [key, value] : all) {
        if (value.lease != 0) {
            erase(key);
        }
    }
}

std::map<std::string, stored_value> fake_users_store::values() const {
    const std::lock_guard lock(mutex_);
    return values_;
}

http_response fake_users_store::read_key(const std::string& key) {
    const auto found = values_.find(key);
    return found == values_.end() ? make(404)
                                  : make(200, to_json(found->second));
}

http_response fake_users_store::read_range(const std::string& prefix,
                                           const std::string& after) {
    json::array items;
    for (const auto& [key, value] : values_) {
        if (key.starts_with(prefix) && key > after) {
            items.push_back(to_json(value));
        }
    }
    return make(200, {{"items", std::move(items)},
                      {"has_more", false},
                      {"current_rev", revision_}});
}

http_response fake_users_store::transact(const std::string& body,
                                         bool& is_lost) {
    if (faults_left_ > 0) {
        --faults_left_;
        if (fault_ == store_fault::refuse) {
            return make(503);
        }
        is_lost = true;
    }
    const json::value source = json::parse(body);
    json::array current;
    bool holds = true;
    for (const json::value& condition : source.at("expected").as_array()) {
        const std::string key(condition.at("key").as_string());
        const auto found = values_.find(key);
        const store_revision now =
            found == values_.end() ? 0 : found->second.modified;
        holds = holds &&
                now == condition.at("revision").to_number<store_revision>();
        if (found != values_.end()) {
            current.push_back(to_json(found->second));
        }
    }
    if (!holds) {
        return make(412, {{"items", std::move(current)}});
    }
    for (const json::value& row : source.at("puts").as_array()) {
        const json::value* const lease = row.as_object().if_contains("lease");
        if (lease != nullptr &&
            !leases_.contains(lease->to_number<std::uint64_t>())) {
            return make(404);
        }
    }
    for (const json::value& row : source.at("puts").as_array()) {
        const json::value* const lease = row.as_object().if_contains("lease");
        write(std::string(row.at("key").as_string()),
              *from_base64(std::string(row.at("value").as_string())),
              lease == nullptr ? 0 : lease->to_number<std::uint64_t>());
    }
    for (const json::value& key : source.at("deletes").as_array()) {
        erase(std::string(key.as_string()));
    }
    return make(200, {{"revision", revision_}});
}

http_response fake_users_store::changes(const std::string& prefix,
                                        store_revision after, bool& is_empty) {
    if (after < oldest_) {
        is_empty = false;
        return make(410);
    }
    json::array events;
    for (auto at = history_.upper_bound(after); at != history_.end(); ++at) {
        const auto& [value, is_removed] = at->second;
        if (!value.key.starts_with(prefix)) {
            continue;
        }
        json::object event = to_json(value);
        if (is_removed) {
            event["removed"] = true;
        }
        events.push_back(std::move(event));
    }
    is_empty = events.empty();
    return make(200,
                {{"events", std::move(events)}, {"current_rev", revision_}});
}

http_response fake_users_store::answer(const http_request& request,
                                       bool& is_lost) {
    const std::lock_guard lock(mutex_);
    const std::string path(request.path());
    if (path == "/savorydock/kv-key") {
        return read_key(query(request, "key"));
    }
    if (path == "/savorydock/kv-range") {
        return read_range(query(request, "prefix"), query(request, "after"));
    }
    if (path == "/savorydock/kv-txn") {
        return transact(request.body, is_lost);
    }
    if (path == "/savorydock/kv-lease") {
        const std::uint64_t lease = next_lease_++;
        leases_[lease] = true;
        return make(200, {{"lease", lease},
                          {"ttl_ms", json::parse(request.body).at("ttl_ms")}});
    }
    const std::uint64_t lease = std::stoull(path.substr(path.rfind('/') + 1));
    if (path.starts_with("/savorydock/kv-keep/")) {
        return leases_.contains(lease) ? make(200, {{"ttl_ms", 1000}})
                                       : make(404);
    }
    leases_.erase(lease);
    const auto all = values_;
    for (const auto& [key, value] : all) {
        if (value.lease == lease) {
            erase(key);
        }
    }
    return make(200);
}

asio::awaitable<void> fake_users_store::handle(http_exchange& exchange) {
    const http_request& request = exchange.request();
    bool is_lost = false;
    http_response response = make(503);
    if (!is_refusing_ && request.path() == "/savorydock/kv-watch") {
        const auto end =
            std::chrono::steady_clock::now() +
            std::chrono::milliseconds(std::stoull(query(request, "wait_ms")));
        bool is_empty = true;
        const bool is_lost_watch = is_losing_watches_;
        while (true) {
            if (!is_lost_watch) {
                const std::lock_guard lock(mutex_);
                response =
                    changes(query(request, "prefix"),
                            std::stoull(query(request, "after")), is_empty);
            }
            const bool has_timed_out =
                !is_lost_watch && std::chrono::steady_clock::now() >= end;
            if (!is_empty || has_timed_out ||
                exchange.is_caller_disconnected()) {
                break;
            }
            asio::steady_timer timer(co_await asio::this_coro::executor);
            timer.expires_after(watch_poll_interval);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    } else if (is_losing_ranges_ && request.path() == "/savorydock/kv-range") {
        is_lost = true;
        while (!exchange.is_caller_disconnected()) {
            asio::steady_timer timer(co_await asio::this_coro::executor);
            timer.expires_after(watch_poll_interval);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    } else if (!is_refusing_) {
        response = answer(request, is_lost);
        const bool is_renewal =
            request.path().starts_with("/savorydock/kv-keep/");
        const bool is_range = request.path() == "/savorydock/kv-range";
        if (is_renewal || is_range) {
            asio::steady_timer timer(co_await asio::this_coro::executor);
            timer.expires_after(is_range ? range_delay_.load()
                                         : renewal_delay_.load());
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        hold armed = hold::armed;
        if (is_range &&
            held_range_.compare_exchange_strong(armed, hold::holding)) {
            asio::steady_timer timer(co_await asio::this_coro::executor);
            while (held_range_ == hold::holding) {
                timer.expires_after(watch_poll_interval);
                co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            }
        }
    }
    if (!is_lost) {
        co_await exchange.respond(std::move(response));
    }
}

} // namespace savorydock
