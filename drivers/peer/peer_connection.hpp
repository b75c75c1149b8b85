#pragma once

// Only the link's own source files include this header, and with it Asio.

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
    /// Called once, from the event loop, with the reason.
    std::function<void(const failure& reason)> on_closed;
};

/// One TCP connection with an HTTP/2 session on it. Not thread safe: lives
/// on the thread that runs its event loop. A closed connection stays closed.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    peer_connection(boost::asio::ip::tcp::socket socket,
                    peer_connection_options options);

    /// Client: connects, then starts.
    void connect(const boost::asio::ip::tcp::endpoint& to);

    /// Starts to read and write. Precondition: the socket is connected.
    void start();

    /// Client: queues a message; false if the queue is full.
    [[nodiscard]] bool submit(std::string body);

    /// Ends the connection; `on_closed` is not called.
    void close();

    [[nodiscard]] bool is_connected() const { return is_connected_; }
    [[nodiscard]] std::size_t open_streams() const {
        return session_.open_streams();
    }
    /// When bytes last came in, or the connection was made.
    [[nodiscard]] steady_time last_heard() const { return last_heard_; }
    /// When a message was last queued or came in.
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
    steady_time last_heard_ = std::chrono::steady_clock::now();
    steady_time last_used_ = last_heard_;
};

} // namespace savorydock
