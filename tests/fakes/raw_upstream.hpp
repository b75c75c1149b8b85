#pragma once

#include "core/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace savorydock {

/// One connection of a `raw_upstream`, driven by its script with blocking
/// calls. Used on the connection's thread only.
class raw_connection {
public:
    raw_connection(boost::asio::ip::tcp::socket& socket,
                   const std::atomic<bool>& is_stopped)
        : socket_(socket)
        , is_stopped_(is_stopped) {}

    /// Reads up to the end of the next request's header, which it returns.
    /// Returns an empty string if the peer has closed the connection. A body
    /// must be read with `skip`.
    std::string read_request();

    /// Reads that many bytes and drops them; returns false once the peer has
    /// closed the connection or the upstream is being destroyed.
    bool skip(std::size_t count);

    /// Writes bytes as they are; returns false once the peer has closed the
    /// connection or the upstream is being destroyed.
    bool write(std::string_view bytes);

    /// Writes the piece again and again until the peer closes the connection.
    /// Returns the number of bytes written.
    std::size_t write_until_closed(std::string_view piece,
                                   std::chrono::milliseconds pause = {});

private:
    boost::asio::ip::tcp::socket& socket_;
    const std::atomic<bool>& is_stopped_;
    std::string read_ahead_;
};

/// An upstream that sends whatever bytes its script writes, for answers that no
/// correct server would send. Each connection runs the script on a thread of
/// its own.
class raw_upstream {
public:
    /// Called for each connection with its number, from 0.
    using script = std::function<void(raw_connection&, std::size_t)>;

    explicit raw_upstream(script run);
    ~raw_upstream();
    raw_upstream(const raw_upstream&) = delete;
    raw_upstream& operator=(const raw_upstream&) = delete;

    [[nodiscard]] endpoint address() const;
    /// Number of connections accepted so far. Thread safe.
    [[nodiscard]] std::size_t connections() const { return connections_; }

private:
    void accept();

    script run_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> is_stopped_ = false;
    std::atomic<std::size_t> connections_ = 0;
    std::vector<std::thread> threads_;
    std::thread accept_thread_;
};

/// Returns the value of a header of a request as `read_request` returns it, or
/// an empty string.
[[nodiscard]] std::string header_of(const std::string& request,
                                    const std::string& name);

} // namespace savorydock
