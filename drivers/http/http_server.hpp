#pragma once

#include "core/endpoint.hpp"
#include "core/http_message.hpp"
#include "core/instance_settings.hpp"
#include "core/outcome.hpp"
#include "drivers/http/traffic_pool.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace savorydock {

/// One request and its response. Used on one traffic thread only.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    [[nodiscard]] virtual const http_request& request() const = 0;

    /// The index of the traffic thread that serves the connection.
    [[nodiscard]] virtual std::size_t worker() const = 0;

    /// Sends a complete response; false if the caller has disconnected.
    virtual boost::asio::awaitable<bool> respond(http_response response) = 0;

    /// Begins a chunked response. Precondition: nothing was sent yet.
    virtual boost::asio::awaitable<bool> begin_stream(unsigned status,
                                                      http_headers headers) = 0;
    /// Sends one chunk; false if the caller has disconnected. An empty chunk
    /// is skipped.
    virtual boost::asio::awaitable<bool> write_chunk(std::string chunk) = 0;

    /// Marks a chunked response as complete. Without this call the connection
    /// is reset, so that the caller never treats the response as complete.
    virtual boost::asio::awaitable<bool> end_stream() = 0;

    [[nodiscard]] virtual bool has_begun() const = 0;

    /// Whether the caller's connection is known to be closed.
    [[nodiscard]] virtual bool is_caller_disconnected() = 0;

    /// Returns once the caller has closed its connection. Await it in parallel
    /// with the work for the caller, and cancel it when that work ends.
    virtual boost::asio::awaitable<void> wait_for_disconnect() = 0;

    /// Closes the connection after the response and announces it in its header.
    virtual void close_after_answer() = 0;
};

using http_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&)>;

/// An HTTP/1.1 server on the threads of a traffic pool, which must outlive
/// it.
class http_server {
public:
    http_server(traffic_pool& pool, caller_limits limits, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts to listen; port 0 selects a free port. Returns the bound address.
    /// Errors: `invalid_settings`. Thread safe.
    [[nodiscard]] outcome<endpoint> listen(const endpoint& address);

    /// Sets the limits for new connections and requests. Thread safe.
    void set_limits(const caller_limits& limits);

    /// Sets a test of whether the limits are known to be in force. A request
    /// over limits that may be out of date is refused with 503, not for good.
    /// The test runs on the traffic thread. Precondition: the pool has one
    /// thread.
    void set_limits_check(std::function<bool()> are_current);

    /// Keeps serving, but closes each connection after its next response and
    /// announces it there. Thread safe, idempotent.
    void announce_close();

    /// Stops accepting connections and closes each open one after its current
    /// request. Requests that arrive on them later are refused as not run.
    /// Thread safe, idempotent.
    void stop_accepting();

    /// The number of requests being received or handled. Thread safe.
    [[nodiscard]] std::size_t active_requests() const;
    /// The number of open connections. Thread safe.
    [[nodiscard]] std::size_t open_connections() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace savorydock
