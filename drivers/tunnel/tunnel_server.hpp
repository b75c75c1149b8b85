#pragma once

#include "core/logger.hpp"
#include "core/outcome.hpp"
#include "drivers/tunnel/tunnel_preamble.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace savorydock {

/// Decides which tunnels this instance opens for others, and learns from its
/// attempts to connect. Called on the server's thread.
class tunnel_policy {
public:
    virtual ~tunnel_policy() = default;

    /// The answer to a request before the upstream is connected; `accepted` if
    /// it may be.
    [[nodiscard]] virtual tunnel_answer
    judge(const endpoint& upstream) const = 0;

    /// The upstream was connected.
    virtual void on_connected(const endpoint& upstream) = 0;

    /// The upstream couldn't be connected. Returns the answer to send.
    virtual tunnel_answer on_connect_failed(const endpoint& upstream) = 0;
};

struct tunnel_server_options {
    /// With port 0 a free port is chosen.
    endpoint listen;
    std::string key;
    /// Connections in all and from one address, those that haven't sent their
    /// request included.
    std::size_t max_tunnels = 256;
    std::size_t max_tunnels_per_peer = 96;
    std::chrono::milliseconds request_timeout{1'000};
    std::chrono::milliseconds connect_timeout{250};
    /// A tunnel on which no byte arrives for this long is closed.
    std::chrono::milliseconds idle_timeout{120'000};
};

struct tunnel_counters {
    std::size_t open = 0;
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;
};

/// Connects other instances to upstreams that they don't reach themselves, and
/// passes bytes on in both directions. The end of one side's bytes and a reset
/// of either side are passed on to the other, so that a truncated answer is
/// never taken for a complete one. Holds at most one buffer of bytes per
/// direction: a slow reader slows its sender down.
///
/// It connects to upstreams that its policy accepts and nowhere else, and
/// always directly, so that tunnels can't form loops. Not thread safe: used on
/// the context's thread.
class tunnel_server {
public:
    /// `policy` and `log` must outlive this object and its context's run.
    tunnel_server(boost::asio::io_context& context,
                  tunnel_server_options options, tunnel_policy& policy,
                  logger& log);
    ~tunnel_server();
    tunnel_server(const tunnel_server&) = delete;
    tunnel_server& operator=(const tunnel_server&) = delete;

    /// Begins to accept connections. Errors: `invalid_settings` if the address
    /// can't be bound. Precondition: called once.
    [[nodiscard]] outcome<done> start();

    /// The address that it listens on. Precondition: started.
    [[nodiscard]] endpoint address() const;

    /// Tunnels whose last bytes came from the caller, which may be waiting for
    /// an answer, or that passed bytes on within the last half second.
    [[nodiscard]] std::size_t active_tunnels() const;

    [[nodiscard]] tunnel_counters counters() const;

private:
    struct state;
    struct tunnel;
    class connection_count;
    static boost::asio::awaitable<void> accept(std::shared_ptr<state> shared);
    static boost::asio::awaitable<void>
    serve(std::shared_ptr<state> shared, boost::asio::ip::tcp::socket socket);
    static boost::asio::awaitable<void>
    close_idle(std::shared_ptr<state> shared);
    static boost::asio::awaitable<void> pass_on(std::shared_ptr<tunnel> passed,
                                                bool is_from_caller);

    std::shared_ptr<state> state_;
};

} // namespace savorydock
