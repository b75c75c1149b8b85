#include "drivers/http/http_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <sys/socket.h>

namespace savorydock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto await = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view bad_request_body =
    R"({"code":104,"name":"not_run_bad_request","detail":"malformed HTTP"})";
/// When to retry a request that was refused by limits that may be out of date.
constexpr std::string_view limits_retry_after = "0.250";
constexpr std::string_view draining_body =
    R"({"code":108,"name":"not_run_draining","detail":"the instance exits"})";
constexpr std::string_view too_large_body =
    R"({"code":113,"name":"not_run_too_large","detail":"over the limit"})";

/// When a caller should retry elsewhere, in seconds.
constexpr std::string_view stopped_retry_after = "0.25";
/// Size of the first read of a request.
constexpr std::size_t first_read_bytes = 16'384;

using string_request = http::request<http::string_body>;

http_request convert(string_request&& source) {
    http_request request{
        .method = std::string(source.method_string()),
        .target = std::string(source.target()),
        .body = std::move(source.body()),
    };
    for (const auto& field : source) {
        request.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    return request;
}

bool is_over_limit(const beast::error_code& error) {
    return error == http::error::body_limit ||
           error == http::error::header_limit;
}

/// One request and its response on a connection.
class connection_exchange final : public http_exchange {
public:
    connection_exchange(beast::tcp_stream& stream, string_request&& request,
                        std::size_t worker, std::chrono::milliseconds timeout,
                        const std::atomic<bool>& is_closing)
        : stream_(stream)
        , is_closing_(is_closing)
        , is_keep_alive_(request.keep_alive())
        , request_(convert(std::move(request)))
        , worker_(worker)
        , timeout_(timeout) {}

    const http_request& request() const override { return request_; }
    std::size_t worker() const override { return worker_; }
    bool has_begun() const override { return has_begun_; }

    /// Whether the connection may carry another request.
    bool is_reusable() const { return is_complete_ && is_keep_alive_; }
    bool is_complete() const { return is_complete_; }
    void forbid_reuse() { is_keep_alive_ = false; }
    void close_after_answer() override { is_keep_alive_ = false; }

    asio::awaitable<void> wait_for_disconnect() override {
        const auto [error] =
            co_await stream_.socket().async_wait(tcp::socket::wait_read, await);
        if (error || is_caller_disconnected()) {
            co_return;
        }
        // The caller is still connected: it has already sent its next
        // request. Waits until the await is cancelled.
        asio::steady_timer never(stream_.get_executor());
        never.expires_at(asio::steady_timer::time_point::max());
        co_await never.async_wait(await);
    }

    bool is_caller_disconnected() override {
        char byte = 0;
        const auto received = ::recv(stream_.socket().native_handle(), &byte, 1,
                                     MSG_PEEK | MSG_DONTWAIT);
        return received == 0 || (received < 0 && errno != EAGAIN);
    }

    asio::awaitable<bool> respond(http_response response) override {
        has_begun_ = true;
        http::response<http::string_body> message(
            static_cast<http::status>(response.status), 11);
        set_headers(message, response.headers);
        message.body() = std::move(response.body);
        message.prepare_payload();
        stream_.expires_after(timeout_);
        const auto [error, size] =
            co_await http::async_write(stream_, message, await);
        is_complete_ = !error;
        co_return is_complete_;
    }

    asio::awaitable<bool> begin_stream(unsigned status,
                                       http_headers headers) override {
        has_begun_ = true;
        http::response<http::empty_body> message(
            static_cast<http::status>(status), 11);
        set_headers(message, headers);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        stream_.expires_after(timeout_);
        const auto [error, size] =
            co_await http::async_write_header(stream_, serializer, await);
        co_return !error;
    }

    asio::awaitable<bool> write_chunk(std::string chunk) override {
        if (chunk.empty()) {
            co_return true;
        }
        stream_.expires_after(timeout_);
        const auto [error, size] = co_await asio::async_write(
            stream_, http::make_chunk(asio::buffer(chunk)), await);
        co_return !error;
    }

    asio::awaitable<bool> end_stream() override {
        stream_.expires_after(timeout_);
        const auto [error, size] =
            co_await asio::async_write(stream_, http::make_chunk_last(), await);
        is_complete_ = !error;
        co_return is_complete_;
    }

private:
    template <class Message>
    void set_headers(Message& message, const http_headers& headers) {
        for (const http_header& header : headers) {
            message.set(header.name, header.value);
        }
        is_keep_alive_ = is_keep_alive_ && !is_closing_;
        message.keep_alive(is_keep_alive_);
    }

    beast::tcp_stream& stream_;
    /// Whether the server closes its connections after their next answers.
    const std::atomic<bool>& is_closing_;
    bool is_keep_alive_;
    http_request request_;
    std::size_t worker_;
    std::chrono::milliseconds timeout_;
    bool has_begun_ = false;
    bool is_complete_ = false;
};

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

/// Closes with a reset, so that a truncated response never looks complete.
void reset_connection(beast::tcp_stream& stream) {
    beast::error_code ignored;
    stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream.socket().close(ignored);
}

} // namespace

struct http_server::state : std::enable_shared_from_this<state> {
    state(traffic_pool& used_pool, caller_limits used_limits,
          http_handler used_handler)
        : pool(used_pool)
        , limits(used_limits)
        , handler(std::move(used_handler))
        , acceptor(used_pool.context(0)) {}

    asio::awaitable<void> accept_all();
    asio::awaitable<void> serve(tcp::socket socket, std::size_t worker);
    asio::awaitable<bool> serve_request(beast::tcp_stream& stream,
                                        beast::flat_buffer& buffer,
                                        std::size_t worker);
    asio::awaitable<void> handle(connection_exchange& exchange);
    /// Waits for the first bytes of a request. The limits in force when these
    /// arrive apply to it, not those at the end of the request before.
    asio::awaitable<bool> await_request(beast::tcp_stream& stream,
                                        beast::flat_buffer& buffer);
    asio::awaitable<void> answer_parse_error(beast::tcp_stream& stream,
                                             beast::error_code error);
    asio::awaitable<void> refuse_after_stop(beast::tcp_stream& stream);

    traffic_pool& pool;
    caller_limits limits;
    http_handler handler;
    std::function<bool()> are_limits_current = [] { return true; };
    tcp::acceptor acceptor;
    std::atomic<bool> is_stopping{false};
    std::atomic<bool> is_closing{false};
    std::atomic<std::size_t> active{0};
    std::atomic<std::size_t> connections{0};
};

asio::awaitable<void> http_server::state::accept_all() {
    const auto self = shared_from_this();
    for (std::size_t next = 0; !is_stopping; ++next) {
        const std::size_t worker = next % pool.size();
        auto [error, socket] =
            co_await acceptor.async_accept(pool.context(worker), await);
        if (error == asio::error::operation_aborted || is_stopping) {
            co_return;
        }
        if (error || connections >= limits.max_connections) {
            continue;
        }
        ++connections;
        asio::co_spawn(
            pool.context(worker), self->serve(std::move(socket), worker),
            [self](const std::exception_ptr&) { --self->connections; });
    }
}

asio::awaitable<void> http_server::state::serve(tcp::socket socket,
                                                std::size_t worker) {
    const auto self = shared_from_this();
    beast::tcp_stream stream(std::move(socket));
    beast::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    beast::flat_buffer buffer;
    bool is_open = true;
    while (is_open && !is_stopping) {
        is_open = co_await serve_request(stream, buffer, worker);
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<bool>
http_server::state::await_request(beast::tcp_stream& stream,
                                  beast::flat_buffer& buffer) {
    if (buffer.size() > 0) {
        co_return true;
    }
    stream.expires_after(limits.io_timeout);
    const auto [error, size] = co_await stream.async_read_some(
        buffer.prepare(first_read_bytes), await);
    buffer.commit(size);
    co_return !error;
}

asio::awaitable<bool> http_server::state::serve_request(
    beast::tcp_stream& stream, beast::flat_buffer& buffer, std::size_t worker) {
    if (!co_await await_request(stream, buffer)) {
        co_return false;
    }
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
    const std::chrono::milliseconds io_timeout = limits.io_timeout;
    stream.expires_after(io_timeout);
    const active_guard guard(active);
    const auto [error, size] =
        co_await http::async_read(stream, buffer, parser, await);
    if (error) {
        co_await answer_parse_error(stream, error);
        co_return false;
    }
    if (is_stopping) {
        co_await refuse_after_stop(stream);
        co_return false;
    }
    stream.expires_never();
    connection_exchange exchange(stream, parser.release(), worker, io_timeout,
                                 is_closing);
    co_await handle(exchange);
    if (!exchange.is_complete()) {
        reset_connection(stream);
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
http_server::state::refuse_after_stop(beast::tcp_stream& stream) {
    http::response<http::string_body> message(http::status::service_unavailable,
                                              11);
    message.set(http::field::content_type, "application/json");
    message.set(http::field::retry_after, stopped_retry_after);
    message.set("Savorydock-Result", "108");
    message.keep_alive(false);
    message.body() = draining_body;
    message.prepare_payload();
    stream.expires_after(limits.io_timeout);
    co_await http::async_write(stream, message, await);
}

asio::awaitable<void>
http_server::state::answer_parse_error(beast::tcp_stream& stream,
                                       beast::error_code error) {
    const bool is_malformed =
        error.category() ==
            make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message;
    if (!is_malformed) {
        co_return;
    }
    const bool is_too_large = is_over_limit(error);
    const bool is_final = !is_too_large || are_limits_current();
    http::response<http::string_body> message(
        !is_final      ? http::status::service_unavailable
        : is_too_large ? http::status::payload_too_large
                       : http::status::bad_request,
        11);
    if (!is_final) {
        message.set(http::field::retry_after, limits_retry_after);
    }
    message.set(http::field::content_type, "application/json");
    message.set("Savorydock-Result", is_too_large ? "113" : "104");
    message.keep_alive(false);
    message.body() = is_too_large ? too_large_body : bad_request_body;
    message.prepare_payload();
    stream.expires_after(limits.io_timeout);
    co_await http::async_write(stream, message, await);
}

http_server::http_server(traffic_pool& pool, caller_limits limits,
                         http_handler handler)
    : state_(std::make_shared<state>(pool, limits, std::move(handler))) {}

http_server::~http_server() {
    stop_accepting();
}

outcome<endpoint> http_server::listen(const endpoint& address) {
    beast::error_code error;
    const auto ip = asio::ip::make_address(address.address, error);
    const tcp::endpoint local(ip, address.port);
    tcp::acceptor& acceptor = state_->acceptor;
    if (!error) {
        acceptor.open(local.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(local, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure{result_code::invalid_settings,
                       "can't listen on " + to_text(address) + ": " +
                           error.message()};
    }
    asio::co_spawn(state_->pool.context(0), state_->accept_all(),
                   asio::detached);
    return endpoint{.address = address.address,
                    .port = acceptor.local_endpoint().port()};
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
        beast::error_code ignored;
        self->acceptor.close(ignored);
    });
}

std::size_t http_server::active_requests() const {
    return state_->active;
}

std::size_t http_server::open_connections() const {
    return state_->connections;
}

} // namespace savorydock
