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

/// A response that is read in parts. Used on its client's thread only.
/// Destroying it before the end of the response closes the connection.
class http_stream {
public:
    virtual ~http_stream() = default;

    [[nodiscard]] virtual unsigned status() const = 0;
    [[nodiscard]] virtual const http_headers& headers() const = 0;

    /// Returns the next bytes, or an empty string at the end of the response.
    /// Errors: `failed_truncated` if the response ended too early,
    /// `unknown_deadline`.
    virtual boost::asio::awaitable<outcome<std::string>>
    read_some(steady_time deadline) = 0;
};

/// How a call uses connections.
enum class connection_use : std::uint8_t {
    /// An idle connection may be reused.
    reuse,
    /// Opens a new connection, for calls that must not be sent on one that
    /// the peer is closing.
    fresh,
};

/// How a response with neither a length nor an end marker is treated.
enum class unframed_answer : std::uint8_t {
    /// As truncated: its end can't be told from a crash of the upstream.
    refuse,
    /// As complete if the connection was closed in order.
    accept,
};

/// An HTTP/1.1 client with a pool of idle connections per address. Belongs
/// to one I/O context and is used on that context's thread only.
///
/// Error codes state whether the upstream may have received the request:
/// `not_run_no_upstream` and `not_run_deadline` mean that no byte of it was
/// written to a socket; `unknown_upstream_lost` and `unknown_deadline` mean
/// that some bytes may have been.
class http_client {
public:
    explicit http_client(boost::asio::io_context& context,
                         unframed_answer unframed = unframed_answer::refuse);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and returns once the response header has arrived. If
    /// the request can't be written before `write_by`, nothing is written and
    /// the call fails with `not_run_deadline`.
    boost::asio::awaitable<outcome<std::unique_ptr<http_stream>>>
    open(endpoint address, http_request request, steady_time deadline,
         connection_use use = connection_use::reuse,
         steady_time write_by = steady_time::max());

    /// Sends a request and returns the complete response.
    boost::asio::awaitable<outcome<http_response>>
    call(endpoint address, http_request request, steady_time deadline,
         connection_use use = connection_use::reuse,
         steady_time write_by = steady_time::max());

    /// Closes the idle connections to an address. For use when they may have
    /// failed without a reset.
    void drop_idle(const endpoint& address);

private:
    struct pool;
    class stream;
    std::shared_ptr<pool> pool_;
};

/// Makes one call and blocks the thread until it ends. For tools and tests.
[[nodiscard]] outcome<http_response>
call_blocking(const endpoint& address, http_request request,
              std::chrono::milliseconds timeout);

} // namespace savorydock
