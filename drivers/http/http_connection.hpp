#pragma once

#include "core/clock.hpp"
#include "servers/admission/caller_memory.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <memory>

namespace savorydock {

/// What a connection waits for, in the order in which connections are closed to
/// make room for new ones.
enum class connection_phase : std::uint8_t {
    /// The caller has been refused and should close the connection.
    closing,
    idle,
    head,
    /// The request is being received or handled: not closed for others.
    busy,
};

/// A connection of a server. Belongs to the thread of its socket.
class http_connection
    : public std::enable_shared_from_this<http_connection>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    http_connection(boost::asio::ip::tcp::socket socket,
                    std::shared_ptr<caller_memory> memory);
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    [[nodiscard]] boost::asio::ip::tcp::socket& socket() { return socket_; }
    [[nodiscard]] boost::beast::flat_buffer& input() { return input_; }
    [[nodiscard]] caller_memory::share& memory() { return memory_; }

    /// Operations that wait are cancelled at this time. `steady_time::max()`
    /// ends the limit.
    void set_deadline(steady_time deadline);
    /// Whether the deadline has passed. Cleared by the next one.
    [[nodiscard]] bool is_expired() const { return is_expired_; }

    /// Whether bytes have arrived that were not read.
    [[nodiscard]] bool has_unread_bytes();

    /// Closes with a reset, so that a truncated response never looks complete.
    void reset();

    /// Bounds the bytes that the system keeps for the connection in either
    /// direction, after a request or before an answer that let them grow.
    void limit_received_bytes();
    void limit_sent_bytes();

private:
    void arm();

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer input_;
    caller_memory::share memory_;
    boost::asio::steady_timer timer_;
    steady_time deadline_ = steady_time::max();
    /// When the timer expires. Deadlines that are later than that don't set it
    /// again, because most requests end long before theirs.
    steady_time armed_until_ = steady_time::max();
    bool is_expired_ = false;
};

/// The connections of one thread that may be closed to make room.
class connection_list {
public:
    /// Records what a connection waits for now.
    void set_phase(http_connection& connection, connection_phase phase);

    /// Closes the connection that has waited longest in the first phase that
    /// has one. Returns false if there is none.
    bool close_one();

private:
    using list =
        boost::intrusive::list<http_connection,
                               boost::intrusive::constant_time_size<false>>;

    list closing_;
    list idle_;
    list heads_;
};

} // namespace savorydock
