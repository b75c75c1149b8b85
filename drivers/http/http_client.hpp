#pragma once

#include "core/call_trace.hpp"
#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/http_message.hpp"
#include "core/outcome.hpp"
#include "drivers/http/connector.hpp"
#include "servers/admission/answer_memory.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

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

/// Whether an answer with these headers belongs to the request that was sent.
using answer_check = std::function<bool(const http_headers&)>;

struct call_options {
    connection_use use = connection_use::reuse;
    /// Sent instead of the request's own body if it isn't empty, so that
    /// several attempts share one body. Must outlive the call.
    std::string_view body;
    /// If the request can't be written before this time, nothing is written.
    steady_time write_by = steady_time::max();
    /// Called right before the request is written; if it returns false, nothing
    /// is written. For permissions that may end while the connection is being
    /// opened. Allows the write if empty.
    std::function<bool()> may_write;
    /// Called with the header of the answer. If it returns false, the call
    /// fails and its connection is closed: after a second answer to an earlier
    /// request, all further answers on the connection would be assigned to the
    /// wrong requests. Accepts all answers if empty.
    answer_check is_own_answer;
    /// Written while the call runs, for the log. Must outlive the call; not
    /// written if null.
    call_trace* trace = nullptr;
};

/// Limits on what a peer may send. They bound the memory of this process when
/// a faulty peer sends without end.
struct answer_limits {
    /// Largest body that `http_client::call` returns.
    std::size_t max_body_bytes = 16U << 20U;
    /// Bodies being received by all calls that share the memory.
    std::size_t max_total_body_bytes = 48U << 20U;
    /// Shared with other clients of the same thread. If null, the client has a
    /// memory of `max_total_body_bytes` of its own.
    std::shared_ptr<answer_memory> memory = nullptr;
};

/// An HTTP/1.1 client with a pool of idle connections per address. Belongs
/// to one I/O context and is used on that context's thread only.
///
/// Interim (1xx) answers are skipped, up to a limit. An answer that exceeds a
/// limit, isn't HTTP, has a status of no class of HTTP (see `kind_of_status`)
/// or is interim and announces a body fails the call and closes its connection.
///
/// Error codes state whether the upstream may have received the request:
/// `not_run_bad_request`, `not_run_no_upstream` and `not_run_deadline` mean
/// that no byte of it was written to a socket; `unknown_upstream_lost` and
/// `unknown_deadline` mean that some bytes may have been.
class http_client {
public:
    /// `used_connector` opens the connections; if null, they are opened to the
    /// upstreams themselves.
    explicit http_client(boost::asio::io_context& context,
                         unframed_answer unframed = unframed_answer::refuse,
                         answer_limits limits = {},
                         std::shared_ptr<connector> used_connector = nullptr);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and returns once the response header has arrived.
    /// Errors: `not_run_bad_request` if the request isn't representable;
    /// `not_run_deadline` if the request can't be written in time;
    /// `unknown_upstream_lost` if no answer to this request arrived.
    boost::asio::awaitable<outcome<std::unique_ptr<http_stream>>>
    open(endpoint address, http_request request, steady_time deadline,
         call_options options = {});

    /// Sends a request and returns the complete response. Errors: as `open`,
    /// and `failed_by_upstream` if the body exceeds the limits.
    boost::asio::awaitable<outcome<http_response>>
    call(endpoint address, http_request request, steady_time deadline,
         call_options options = {});

    /// Closes the idle connections to an address. For use when they may have
    /// failed without a reset.
    void drop_idle(const endpoint& address);

    /// Closes the idle connections that the connector no longer trusts.
    void drop_unusable();

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
