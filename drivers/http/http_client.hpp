#pragma once

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/http_message.hpp"
#include "core/outcome.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace savorydock {

/// An answer that arrives in parts. Lives on its client's thread; dropping it
/// before its end closes the connection.
class http_stream {
public:
    virtual ~http_stream() = default;

    [[nodiscard]] virtual unsigned status() const = 0;
    [[nodiscard]] virtual const http_headers& headers() const = 0;

    /// The next bytes, or an empty text once the whole answer has arrived.
    /// Errors: `failed_truncated` if it ended too soon, `unknown_deadline`.
    virtual boost::asio::awaitable<outcome<std::string>>
    read_some(steady_time deadline) = 0;
};

/// How a call uses connections.
enum class connection_use : std::uint8_t {
    /// An idle connection may be used again.
    reuse,
    /// A new connection, for calls that must not meet a half-closed one.
    fresh,
};

/// How an answer without length or end mark is taken.
enum class unframed_answer : std::uint8_t {
    /// As cut short: its end can't be told from a crash.
    refuse,
    /// As whole if the connection was closed in order.
    accept,
};

/// An HTTP/1.1 client with idle connections kept for each address. Belongs
/// to one I/O context and is used on that context's thread only.
///
/// Its errors tell what the upstream can have seen: `not_run_no_upstream`
/// and `not_run_deadline` mean that no byte of the request was handed to a
/// socket; `unknown_upstream_lost` and `unknown_deadline` that some were.
class http_client {
public:
    explicit http_client(boost::asio::io_context& context,
                         unframed_answer unframed = unframed_answer::refuse);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and returns the answer as it begins. From `write_by`
    /// on no byte is handed to a socket: `not_run_deadline`.
    boost::asio::awaitable<outcome<std::unique_ptr<http_stream>>>
    open(endpoint address, http_request request, steady_time deadline,
         connection_use use = connection_use::reuse,
         steady_time write_by = steady_time::max());

    /// Sends a request and returns the whole answer.
    boost::asio::awaitable<outcome<http_response>>
    call(endpoint address, http_request request, steady_time deadline,
         connection_use use = connection_use::reuse,
         steady_time write_by = steady_time::max());

    /// Closes the idle connections to an address whose kept connections may
    /// have gone silent.
    void drop_idle(const endpoint& address);

private:
    struct pool;
    class stream;
    std::shared_ptr<pool> pool_;
};

/// Makes one call and waits for it, for tools and tests. Blocks the thread.
[[nodiscard]] outcome<http_response>
call_blocking(const endpoint& address, http_request request,
              std::chrono::milliseconds timeout);

} // namespace savorydock
