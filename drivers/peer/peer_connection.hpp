#pragma once

// Include this header only in the peer link's sources, since it includes Asio.

#include "core/clock.hpp"
#include "drivers/peer/http2_session.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace savorydock {

struct peer_connection_options {
    http2_role role = http2_role::client;
    http2_limits limits;
    http2_handlers handlers;
    /// Called at most once, on the event loop, with the reason.
    std::function<void(const failure& reason)> on_closed;
};

/// A TCP connection that carries an HTTP/2 session. Not thread safe: use it
/// only on the thread that runs its event loop. It can't be reopened.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    peer_connection(boost::asio::ip::tcp::socket socket,
                    peer_connection_options options);

    /// Client: connects, then calls `start`.
    void connect(const boost::asio::ip::tcp::endpoint& to);

    /// Starts reading and writing. Precondition: the socket is connected.
    void start();

    /// Client: queues a message; false if the connection is closed or the
    /// message would exceed the limits.
    [[nodiscard]] bool submit(std::string body);

    /// Closes the connection without calling `on_closed`.
    void close();

    [[nodiscard]] bool is_connected() const { return is_connected_; }
    [[nodiscard]] std::size_t open_streams() const {
        return session_.open_streams();
    }
    /// Bytes of the messages that the peer hasn't answered.
    [[nodiscard]] std::size_t queued_bytes() const {
        return session_.buffered_bytes();
    }
    /// When bytes were last received, or the connection was established.
    [[nodiscard]] steady_time last_received() const { return last_received_; }
    /// When a message was last queued or bytes were last received.
    [[nodiscard]] steady_time last_used() const { return last_used_; }

private:
    static constexpr std::size_t read_bytes = 16'384;

    void read();
    void write();
    void fail(result_code code, std::string why);

    boost::asio::ip::tcp::socket socket_;
    http2_session session_;
    std::function<void(const failure&)> on_closed_;
    std::array<char, read_bytes> input_{};
    std::string output_;
    bool is_connected_ = false;
    bool is_writing_ = false;
    bool is_closed_ = false;
    steady_time last_received_ = std::chrono::steady_clock::now();
    steady_time last_used_ = last_received_;
};

} // namespace savorydock
