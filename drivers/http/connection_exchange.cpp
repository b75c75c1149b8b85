#include "drivers/http/connection_exchange.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <sys/socket.h>
#include <utility>

namespace savorydock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto await = asio::as_tuple(asio::use_awaitable);
/// Larger answers are written in parts, and yield their memory to others.
constexpr std::size_t large_answer_bytes = 65'536;
constexpr std::size_t part_bytes = 262'144;
/// A step of progress of a large answer.
constexpr std::size_t progress_bytes = 16'384;
/// The sent part of an answer is freed when it is this large, and half of the
/// rest at least, so that each byte is moved once on average.
constexpr std::size_t min_freed_bytes = 1U << 20U;

template <class Head>
std::string to_bytes(Head& head) {
    http::serializer<false, http::empty_body> serializer(head);
    std::string bytes;
    beast::error_code error;
    serializer.split(true);
    serializer.next(error, [&](beast::error_code&, const auto& buffers) {
        bytes = beast::buffers_to_string(buffers);
    });
    return bytes;
}

} // namespace

connection_exchange::connection_exchange(http_connection& connection,
                                         http_request request,
                                         bool is_keep_alive, std::size_t worker,
                                         exchange_limits limits,
                                         const std::atomic<bool>& is_closing)
    : connection_(connection)
    , is_closing_(is_closing)
    , is_keep_alive_(is_keep_alive)
    , request_(std::move(request))
    , worker_(worker)
    , limits_(limits) {}

asio::awaitable<void> connection_exchange::wait_for_disconnect() {
    const auto [error] =
        co_await connection_.socket().async_wait(tcp::socket::wait_read, await);
    if (error || is_caller_disconnected()) {
        co_return;
    }
    // The caller is still connected: it has already sent its next request.
    // Waits until the await is cancelled.
    asio::steady_timer never(connection_.socket().get_executor());
    never.expires_at(asio::steady_timer::time_point::max());
    co_await never.async_wait(await);
}

bool connection_exchange::is_caller_disconnected() {
    char byte = 0;
    const auto received = ::recv(connection_.socket().native_handle(), &byte, 1,
                                 MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN);
}

void connection_exchange::set_headers(response_head& head,
                                      const http_headers& headers) {
    for (const http_header& header : headers) {
        head.set(header.name, header.value);
    }
    is_keep_alive_ = is_keep_alive_ && !is_closing_;
    head.keep_alive(is_keep_alive_);
}

void connection_exchange::begin_write(std::chrono::milliseconds timeout) {
    connection_.set_deadline(std::chrono::steady_clock::now() + timeout);
}

bool connection_exchange::hold_answer(std::size_t bytes) {
    caller_memory::share& memory = connection_.memory();
    memory.reset();
    if (request_.body.size() > large_answer_bytes) {
        std::string().swap(request_.body);
    }
    const std::size_t held = bytes + request_.body.size();
    const auto now = std::chrono::steady_clock::now();
    if (bytes > large_answer_bytes) {
        is_dropped_ = !memory.resize(held, now);
        return !is_dropped_;
    }
    memory.set_revocable(false);
    memory.force(held, now);
    return true;
}

asio::awaitable<bool> connection_exchange::respond(http_response response) {
    has_begun_ = true;
    response_head head(static_cast<http::status>(response.status), 11);
    set_headers(head, response.headers);
    head.content_length(response.body.size());
    const std::string head_bytes = to_bytes(head);
    if (!hold_answer(response.body.size())) {
        co_return false;
    }
    begin_write(limits_.write_timeout);
    if (response.body.size() <= large_answer_bytes) {
        const std::array<asio::const_buffer, 2> parts{
            asio::buffer(head_bytes), asio::buffer(response.body)};
        const auto [error, size] =
            co_await asio::async_write(connection_.socket(), parts, await);
        is_complete_ = !error;
    } else {
        const auto [error, size] = co_await asio::async_write(
            connection_.socket(), asio::buffer(head_bytes), await);
        is_complete_ = !error && co_await write_body(std::move(response.body));
    }
    connection_.set_deadline(steady_time::max());
    co_return is_complete_;
}

asio::awaitable<bool> connection_exchange::write_body(std::string body) {
    connection_.limit_sent_bytes();
    std::size_t sent = 0;
    std::size_t marked = 0;
    begin_write(limits_.progress_timeout);
    while (sent < body.size()) {
        const auto [error, size] =
            co_await connection_.socket().async_write_some(
                asio::buffer(body.data() + sent,
                             std::min(part_bytes, body.size() - sent)),
                await);
        if (error || connection_.memory().is_revoked()) {
            is_dropped_ = connection_.memory().is_revoked();
            co_return false;
        }
        sent += size;
        marked += size;
        if (marked >= progress_bytes) {
            marked = 0;
            begin_write(limits_.progress_timeout);
            connection_.memory().mark_progress(
                std::chrono::steady_clock::now());
        }
        if (sent >= min_freed_bytes && sent >= (body.size() - sent) / 2) {
            body = std::string(body, sent);
            sent = 0;
        }
        if (!connection_.memory().resize(body.size(),
                                         std::chrono::steady_clock::now())) {
            is_dropped_ = true;
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<bool> connection_exchange::begin_stream(unsigned status,
                                                        http_headers headers) {
    has_begun_ = true;
    response_head head(static_cast<http::status>(status), 11);
    set_headers(head, headers);
    head.chunked(true);
    const std::string head_bytes = to_bytes(head);
    begin_write(limits_.write_timeout);
    const auto [error, size] = co_await asio::async_write(
        connection_.socket(), asio::buffer(head_bytes), await);
    connection_.set_deadline(steady_time::max());
    co_return !error;
}

asio::awaitable<bool> connection_exchange::write_chunk(std::string chunk) {
    if (chunk.empty()) {
        co_return true;
    }
    begin_write(limits_.write_timeout);
    const auto [error, size] = co_await asio::async_write(
        connection_.socket(), http::make_chunk(asio::buffer(chunk)), await);
    connection_.set_deadline(steady_time::max());
    co_return !error;
}

asio::awaitable<bool> connection_exchange::end_stream() {
    begin_write(limits_.write_timeout);
    const auto [error, size] = co_await asio::async_write(
        connection_.socket(), http::make_chunk_last(), await);
    connection_.set_deadline(steady_time::max());
    is_complete_ = !error;
    co_return is_complete_;
}

bool connection_exchange::reserve_memory(std::size_t bytes) {
    caller_memory::share& memory = connection_.memory();
    return memory.resize(memory.bytes() + bytes,
                         std::chrono::steady_clock::now());
}

std::string connection_exchange::take_body() {
    return std::exchange(request_.body, {});
}

} // namespace savorydock
