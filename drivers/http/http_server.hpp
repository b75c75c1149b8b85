#pragma once

#include "core/endpoint.hpp"
#include "core/http_message.hpp"
#include "core/instance_settings.hpp"
#include "core/logger.hpp"
#include "core/outcome.hpp"
#include "drivers/http/traffic_pool.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

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

    /// Reserves memory for handling the request, beyond that of its body, until
    /// the response begins. Returns false if there is none; the request should
    /// then be refused as not run.
    [[nodiscard]] virtual bool reserve_memory(std::size_t) { return true; }

    /// Takes the body out of the request, for handlers that convert it.
    [[nodiscard]] virtual std::string take_body() { return request().body; }
};

using http_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&)>;

struct http_server_options {
    /// For requests and unread answers of all connections.
    std::size_t memory_bytes = std::numeric_limits<std::size_t>::max();
    /// Names the server in log lines.
    std::string name = "callers";
    /// For connections and requests that were refused, at most one line a
    /// second; null if they aren't logged.
    logger* log = nullptr;
};

/// Requests and connections that a server ended because of a limit.
struct http_server_counters {
    std::size_t memory_bytes = 0;
    std::uint64_t malformed = 0;
    std::uint64_t too_large = 0;
    /// Refused as not run, because there was no memory for them.
    std::uint64_t overloaded = 0;
    /// Closed because their request or answer made no progress.
    std::uint64_t too_slow = 0;
    /// Closed because there was no memory for their answer.
    std::uint64_t answers_dropped = 0;
    /// Closed to make room for others, or not accepted for lack of room.
    std::uint64_t closed_for_room = 0;
    std::uint64_t not_accepted = 0;
};

/// An HTTP/1.1 server on the threads of a traffic pool, which must outlive
/// it.
class http_server {
public:
    http_server(traffic_pool& pool, caller_limits limits, http_handler handler,
                http_server_options options = {});
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
    /// Precondition: called on the pool's thread, of which there is one.
    [[nodiscard]] http_server_counters counters() const;
    /// The counters of all threads together, without `memory_bytes`. Thread
    /// safe.
    [[nodiscard]] http_server_counters total_counters() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace savorydock
