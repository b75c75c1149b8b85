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

/// One request and the answer to it. Lives on one traffic thread.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    [[nodiscard]] virtual const http_request& request() const = 0;

    /// The traffic thread that carries the connection.
    [[nodiscard]] virtual std::size_t worker() const = 0;

    /// Sends a whole answer; false if the caller is gone.
    virtual boost::asio::awaitable<bool> respond(http_response response) = 0;

    /// Begins a chunked answer. Precondition: nothing was sent yet.
    virtual boost::asio::awaitable<bool> begin_stream(unsigned status,
                                                      http_headers headers) = 0;
    /// Sends one chunk; false if the caller is gone. An empty one is skipped.
    virtual boost::asio::awaitable<bool> write_chunk(std::string chunk) = 0;

    /// Ends a chunked answer as whole. Without this call the caller sees a
    /// broken connection, never a whole answer.
    virtual boost::asio::awaitable<bool> end_stream() = 0;

    [[nodiscard]] virtual bool has_begun() const = 0;

    /// Whether the caller has closed its connection, as far as can be seen.
    [[nodiscard]] virtual bool is_caller_gone() = 0;

    /// Returns once the caller has closed its connection. To be awaited
    /// beside the work for the caller and cancelled with it.
    virtual boost::asio::awaitable<void> wait_caller_gone() = 0;

    /// The answer tells the caller that its connection closes after it.
    virtual void close_after_answer() = 0;
};

using http_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&)>;

/// An HTTP/1.1 server over a traffic pool. The pool must outlive it.
class http_server {
public:
    http_server(traffic_pool& pool, caller_limits limits, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens; port 0 takes any free port. Returns the address in use.
    /// Errors: `invalid_settings`. Thread safe.
    [[nodiscard]] outcome<endpoint> listen(const endpoint& address);

    /// Bounds of the connections and requests that come from now on. Thread
    /// safe.
    void set_limits(const caller_limits& limits);

    /// Tells each caller from now on that its connection closes after the
    /// answer, and goes on serving. Thread safe, idempotent.
    void announce_close();

    /// Accepts no further connection and closes each after its current
    /// request. Thread safe, idempotent.
    void stop_accepting();

    /// Requests being handled now. Thread safe.
    [[nodiscard]] std::size_t active_requests() const;
    /// Connections open now. Thread safe.
    [[nodiscard]] std::size_t open_connections() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace savorydock
