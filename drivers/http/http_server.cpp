#include "drivers/http/http_server.hpp"

#include "drivers/http/connection_exchange.hpp"
#include "drivers/http/http_connection.hpp"
#include "drivers/http/request_assembler.hpp"
#include "servers/admission/caller_memory.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <optional>
#include <sys/socket.h>
#include <vector>

namespace savorydock {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr auto await = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view bad_request_body =
    R"({"code":104,"name":"not_run_bad_request","detail":"malformed HTTP"})";
/// When to retry a request that was refused by limits that may be out of date.
constexpr std::string_view limits_retry_after = "0.250";
constexpr std::string_view draining_body =
    R"({"code":108,"name":"not_run_draining","detail":"the instance exits"})";
constexpr std::string_view overloaded_body =
    R"({"code":100,"name":"not_run_overloaded","detail":"out of memory"})";
constexpr std::string_view too_large_body =
    R"({"code":113,"name":"not_run_too_large","detail":"over the limit"})";

/// When a caller should retry elsewhere, in seconds.
constexpr std::string_view stopped_retry_after = "0.25";
/// When to retry a request for which there was no memory.
constexpr std::string_view memory_retry_after = "0.5";
/// Growth of a body that counts as progress.
constexpr std::size_t progress_bytes = 16'384;
/// After a larger body, the bytes that the system reads ahead are bounded anew.
constexpr std::size_t large_body_bytes = 65'536;
/// Pause after a failed accept.
constexpr std::chrono::milliseconds accept_retry_delay{100};
/// Limit on lines about refused requests and closed connections.
constexpr std::chrono::milliseconds log_interval{1'000};
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_unavailable = 503;

/// Counts a request while it is received and handled.
class active_guard {
public:
    explicit active_guard(std::atomic<std::size_t>& count)
        : count_(count) {
        ++count_;
    }
    active_guard(const active_guard&) = delete;
    active_guard& operator=(const active_guard&) = delete;
    ~active_guard() { --count_; }

private:
    std::atomic<std::size_t>& count_;
};

/// Bytes that one read takes. Each traffic thread has one buffer for them, so
/// that connections that wait hold none.
thread_local std::array<char, 65'536> received_bytes;

} // namespace

struct http_server::state : std::enable_shared_from_this<state> {
    using connection_pointer = std::shared_ptr<http_connection>;

    /// What belongs to one traffic thread.
    struct worker_state {
        std::shared_ptr<caller_memory> memory;
        connection_list waiting;
        http_server_counters counters;
        steady_time logged_at{};
        std::uint64_t unlogged = 0;
    };

    state(traffic_pool& used_pool, caller_limits used_limits,
          http_handler used_handler, http_server_options used_options)
        : pool(used_pool)
        , limits(used_limits)
        , handler(std::move(used_handler))
        , options(std::move(used_options))
        , workers(used_pool.size()) {
        for (worker_state& worker : workers) {
            worker.memory =
                std::make_shared<caller_memory>(caller_memory_options{
                    .max_bytes = options.memory_bytes / workers.size()});
        }
    }

    asio::awaitable<void> accept_all(std::shared_ptr<tcp::acceptor> acceptor);
    /// Serves a connection on its traffic thread.
    void start(tcp::socket socket, std::size_t worker);
    asio::awaitable<void> serve(tcp::socket socket, std::size_t worker);
    asio::awaitable<bool> serve_request(http_connection& connection,
                                        std::size_t worker);
    asio::awaitable<void> handle(connection_exchange& exchange);
    /// Waits for the first bytes of a request. The limits in force when these
    /// arrive apply to it, not those at the end of the request before.
    asio::awaitable<bool> await_request(http_connection& connection,
                                        std::size_t worker);
    /// Returns nothing if the connection ended, or made no progress.
    asio::awaitable<std::optional<request_state>>
    read_request(http_connection& connection, request_assembler& assembler,
                 caller_limits bounds, std::size_t worker);
    asio::awaitable<void> refuse(http_connection& connection,
                                 request_state reason, std::size_t worker);
    asio::awaitable<void> refuse_after_stop(http_connection& connection,
                                            std::size_t worker);
    asio::awaitable<void> write_refusal(http_connection& connection,
                                        http_response refusal,
                                        std::size_t worker);
    void record(std::uint64_t http_server_counters::*counter,
                std::string_view reason, std::size_t worker);

    traffic_pool& pool;
    caller_limits limits;
    http_handler handler;
    http_server_options options;
    std::function<bool()> are_limits_current = [] { return true; };
    /// Owned by its coroutine, because this state may outlive the context that
    /// accepts: connections of other contexts keep it until they end.
    std::weak_ptr<tcp::acceptor> accepting;
    std::vector<worker_state> workers;
    std::atomic<bool> is_stopping{false};
    std::atomic<bool> is_closing{false};
    std::atomic<std::size_t> active{0};
    std::atomic<std::size_t> connections{0};
};

void http_server::state::record(std::uint64_t http_server_counters::*counter,
                                std::string_view reason, std::size_t worker) {
    worker_state& own = workers[worker];
    ++std::atomic_ref(own.counters.*counter);
    const auto now = std::chrono::steady_clock::now();
    if (options.log == nullptr || now < own.logged_at + log_interval) {
        ++own.unlogged;
        return;
    }
    options.log->write(log_event::caller_limited,
                       "server=" + options.name +
                           " reason=" + std::string(reason) + " memory_bytes=" +
                           std::to_string(own.memory->counters().used_bytes) +
                           " connections=" + std::to_string(connections) +
                           " unlogged=" + std::to_string(own.unlogged));
    own.logged_at = now;
    own.unlogged = 0;
}

asio::awaitable<void>
http_server::state::accept_all(std::shared_ptr<tcp::acceptor> acceptor) {
    const auto self = shared_from_this();
    for (std::size_t next = 0; acceptor->is_open(); ++next) {
        const std::size_t worker = next % pool.size();
        auto [error, socket] =
            co_await acceptor->async_accept(pool.context(worker), await);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            // Usually out of file descriptors.
            asio::steady_timer timer(acceptor->get_executor(),
                                     accept_retry_delay);
            co_await timer.async_wait(await);
            continue;
        }
        start(std::move(socket), worker);
    }
}

void http_server::state::start(tcp::socket socket, std::size_t worker) {
    ++connections;
    asio::co_spawn(pool.context(worker), serve(std::move(socket), worker),
                   [self = shared_from_this()](const std::exception_ptr&) {
                       --self->connections;
                   });
}

asio::awaitable<void> http_server::state::serve(tcp::socket socket,
                                                std::size_t worker) {
    const auto self = shared_from_this();
    worker_state& own = workers[worker];
    if (connections > limits.max_connections) {
        if (!own.waiting.close_one()) {
            record(&http_server_counters::not_accepted, "connections", worker);
            co_return;
        }
        record(&http_server_counters::closed_for_room, "connections", worker);
    }
    const auto connection =
        std::make_shared<http_connection>(std::move(socket), own.memory);
    beast::error_code ignored;
    connection->socket().set_option(tcp::no_delay(true), ignored);
    bool is_open = true;
    // A connection that was opened before the stop gets an answer, too.
    do {
        is_open = co_await serve_request(*connection, worker);
    } while (is_open && !is_stopping);
    connection->socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<bool>
http_server::state::await_request(http_connection& connection,
                                  std::size_t worker) {
    if (connection.input().size() > 0) {
        co_return true;
    }
    connection_list& waiting = workers[worker].waiting;
    waiting.set_phase(connection, connection_phase::idle);
    connection.set_deadline(std::chrono::steady_clock::now() +
                            limits.io_timeout);
    const auto [error] =
        co_await connection.socket().async_wait(tcp::socket::wait_read, await);
    waiting.set_phase(connection, connection_phase::busy);
    connection.set_deadline(steady_time::max());
    co_return !error;
}

asio::awaitable<std::optional<request_state>>
http_server::state::read_request(http_connection& connection,
                                 request_assembler& assembler,
                                 caller_limits bounds, std::size_t worker) {
    steady_time now = std::chrono::steady_clock::now();
    const steady_time begin = now;
    // The next time by which the head is complete, or the body has grown.
    steady_time progress_end = begin + bounds.header_timeout;
    std::size_t marked_bytes = 0;
    bool was_head = true;
    request_state progress = request_state::incomplete;
    if (connection.input().size() > 0) {
        progress = assembler.add({}, now);
    }
    for (bool is_first = connection.input().size() == 0;
         progress == request_state::incomplete; is_first = false) {
        if (!is_first) {
            workers[worker].waiting.set_phase(connection,
                                              assembler.is_head_complete()
                                                  ? connection_phase::busy
                                                  : connection_phase::head);
            connection.set_deadline(
                std::min(begin + bounds.io_timeout, progress_end));
            const auto [error] = co_await connection.socket().async_wait(
                tcp::socket::wait_read, await);
            if (connection.memory().is_revoked()) {
                co_return request_state::overloaded;
            }
            if (error) {
                if (connection.is_expired()) {
                    record(&http_server_counters::too_slow, "slow_request",
                           worker);
                }
                co_return std::nullopt;
            }
        }
        const auto size =
            ::recv(connection.socket().native_handle(), received_bytes.data(),
                   received_bytes.size(), MSG_DONTWAIT);
        if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR)) {
            co_return std::nullopt;
        }
        now = std::chrono::steady_clock::now();
        progress = assembler.add(
            {received_bytes.data(),
             size > 0 ? static_cast<std::size_t>(size) : std::size_t{0}},
            now);
        const bool is_head = !assembler.is_head_complete();
        if (is_head != was_head ||
            assembler.body_bytes() >= marked_bytes + progress_bytes) {
            was_head = is_head;
            marked_bytes = assembler.body_bytes();
            progress_end = now + bounds.header_timeout;
        }
    }
    workers[worker].waiting.set_phase(connection, connection_phase::busy);
    connection.set_deadline(steady_time::max());
    co_return progress;
}

asio::awaitable<bool>
http_server::state::serve_request(http_connection& connection,
                                  std::size_t worker) {
    connection.memory().reset();
    if (!co_await await_request(connection, worker)) {
        co_return false;
    }
    const caller_limits bounds = limits;
    std::optional<request_assembler> assembler(
        std::in_place, connection.input(), connection.memory(), bounds);
    const active_guard guard(active);
    const auto read =
        co_await read_request(connection, *assembler, bounds, worker);
    if (!read) {
        co_return false;
    }
    if (*read != request_state::complete) {
        assembler.reset();
        co_await refuse(connection, *read, worker);
        co_return false;
    }
    if (is_stopping) {
        co_await refuse_after_stop(connection, worker);
        co_return false;
    }
    connection.memory().set_revocable(false);
    if (assembler->body_bytes() > large_body_bytes) {
        connection.limit_received_bytes();
    }
    const bool is_keep_alive = assembler->is_keep_alive();
    http_request request = assembler->take_request();
    assembler.reset();
    connection_exchange exchange(
        connection, std::move(request), is_keep_alive, worker,
        exchange_limits{.write_timeout = bounds.io_timeout,
                        .progress_timeout = bounds.header_timeout},
        is_closing);
    co_await handle(exchange);
    if (!exchange.is_complete()) {
        if (exchange.is_dropped()) {
            record(&http_server_counters::answers_dropped, "answer_memory",
                   worker);
        } else if (connection.is_expired()) {
            record(&http_server_counters::too_slow, "slow_reader", worker);
        }
        connection.reset();
        co_return false;
    }
    co_return exchange.is_reusable();
}

asio::awaitable<void>
http_server::state::handle(connection_exchange& exchange) {
    bool has_thrown = false;
    try {
        co_await handler(exchange);
    } catch (const std::exception&) {
        has_thrown = true;
    }
    if (has_thrown && !exchange.has_begun()) {
        exchange.forbid_reuse();
        http_response response{.status = 500};
        co_await exchange.respond(std::move(response));
    }
}

asio::awaitable<void>
http_server::state::refuse_after_stop(http_connection& connection,
                                      std::size_t worker) {
    http_response refusal{
        .status = status_unavailable,
        .headers = {{"Content-Type", "application/json"},
                    {"Retry-After", std::string(stopped_retry_after)},
                    {"Savorydock-Result", "108"}},
        .body = std::string(draining_body)};
    co_await write_refusal(connection, std::move(refusal), worker);
}

asio::awaitable<void> http_server::state::refuse(http_connection& connection,
                                                 request_state reason,
                                                 std::size_t worker) {
    http_response refusal{.status = status_bad_request,
                          .body = std::string(bad_request_body)};
    std::string result = "104";
    if (reason == request_state::overloaded) {
        record(&http_server_counters::overloaded, "request_memory", worker);
        refusal.status = status_unavailable;
        refusal.headers.push_back(
            {"Retry-After", std::string(memory_retry_after)});
        refusal.body = overloaded_body;
        result = "100";
    } else if (reason == request_state::too_large) {
        record(&http_server_counters::too_large, "too_large", worker);
        refusal.status = status_too_large;
        if (!are_limits_current()) {
            refusal.status = status_unavailable;
            refusal.headers.push_back(
                {"Retry-After", std::string(limits_retry_after)});
        }
        refusal.body = too_large_body;
        result = "113";
    } else {
        record(&http_server_counters::malformed, "malformed", worker);
    }
    refusal.headers.push_back({"Content-Type", "application/json"});
    refusal.headers.push_back({"Savorydock-Result", result});
    co_await write_refusal(connection, std::move(refusal), worker);
}

asio::awaitable<void>
http_server::state::write_refusal(http_connection& connection,
                                  http_response refusal, std::size_t worker) {
    connection.memory().reset();
    connection.input().clear();
    connection.input().shrink_to_fit();
    connection_exchange exchange(
        connection, http_request{}, false, worker,
        exchange_limits{.write_timeout = limits.header_timeout,
                        .progress_timeout = limits.header_timeout},
        is_closing);
    if (!co_await exchange.respond(std::move(refusal))) {
        co_return;
    }
    // A caller that is still sending sees the answer only if its bytes are
    // read: the system resets a connection that is closed with unread bytes.
    beast::error_code ignored;
    connection.socket().shutdown(tcp::socket::shutdown_send, ignored);
    workers[worker].waiting.set_phase(connection, connection_phase::closing);
    connection.set_deadline(std::chrono::steady_clock::now() +
                            limits.header_timeout);
    std::size_t dropped = 0;
    while (dropped <= limits.max_body_bytes) {
        const auto [error] = co_await connection.socket().async_wait(
            tcp::socket::wait_read, await);
        if (error) {
            break;
        }
        const auto size =
            ::recv(connection.socket().native_handle(), received_bytes.data(),
                   received_bytes.size(), MSG_DONTWAIT | MSG_TRUNC);
        if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR)) {
            break;
        }
        dropped += size > 0 ? static_cast<std::size_t>(size) : 0;
    }
    workers[worker].waiting.set_phase(connection, connection_phase::busy);
    connection.set_deadline(steady_time::max());
}

http_server::http_server(traffic_pool& pool, caller_limits limits,
                         http_handler handler, http_server_options options)
    : state_(std::make_shared<state>(pool, limits, std::move(handler),
                                     std::move(options))) {}

http_server::~http_server() {
    stop_accepting();
}

outcome<endpoint> http_server::listen(const endpoint& address) {
    beast::error_code error;
    const auto ip = asio::ip::make_address(address.address, error);
    const tcp::endpoint local(ip, address.port);
    const auto acceptor =
        std::make_shared<tcp::acceptor>(state_->pool.context(0));
    if (!error) {
        acceptor->open(local.protocol(), error);
    }
    if (!error) {
        acceptor->set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor->bind(local, error);
    }
    if (!error) {
        acceptor->listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure{result_code::invalid_settings,
                       "can't listen on " + to_text(address) + ": " +
                           error.message()};
    }
    const std::uint16_t port = acceptor->local_endpoint().port();
    state_->accepting = acceptor;
    asio::co_spawn(state_->pool.context(0), state_->accept_all(acceptor),
                   asio::detached);
    return endpoint{.address = address.address, .port = port};
}

void http_server::set_limits(const caller_limits& limits) {
    asio::post(state_->pool.context(0),
               [self = state_, limits] { self->limits = limits; });
}

void http_server::set_limits_check(std::function<bool()> are_current) {
    asio::post(state_->pool.context(0),
               [self = state_, are_current = std::move(are_current)]() mutable {
                   self->are_limits_current = std::move(are_current);
               });
}

void http_server::announce_close() {
    state_->is_closing = true;
}

void http_server::stop_accepting() {
    if (state_->is_stopping.exchange(true)) {
        return;
    }
    asio::post(state_->pool.context(0), [self = state_] {
        const auto acceptor = self->accepting.lock();
        if (!acceptor) {
            return;
        }
        // The system resets connections that it has opened and nobody accepted.
        beast::error_code error;
        acceptor->non_blocking(true, error);
        while (!error) {
            tcp::socket socket(self->pool.context(0));
            acceptor->accept(socket, error);
            if (!error) {
                self->start(std::move(socket), 0);
            }
        }
        acceptor->close(error);
    });
}

std::size_t http_server::active_requests() const {
    return state_->active;
}

std::size_t http_server::open_connections() const {
    return state_->connections;
}

http_server_counters http_server::counters() const {
    const state::worker_state& worker = state_->workers.front();
    http_server_counters counters = worker.counters;
    counters.memory_bytes = worker.memory->counters().used_bytes;
    return counters;
}

http_server_counters http_server::total_counters() const {
    http_server_counters total;
    for (state::worker_state& worker : state_->workers) {
        for (const auto counter : {&http_server_counters::malformed,
                                   &http_server_counters::too_large,
                                   &http_server_counters::overloaded,
                                   &http_server_counters::too_slow,
                                   &http_server_counters::answers_dropped,
                                   &http_server_counters::closed_for_room,
                                   &http_server_counters::not_accepted}) {
            total.*counter += std::atomic_ref(worker.counters.*counter).load();
        }
    }
    return total;
}

} // namespace savorydock
