#include "drivers/peer/peer_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace savorydock {

namespace asio = boost::asio;
using boost::system::error_code;

peer_connection::peer_connection(asio::ip::tcp::socket socket,
                                 peer_connection_options options)
    : socket_(std::move(socket))
    , session_(options.role, options.limits, std::move(options.handlers))
    , on_closed_(std::move(options.on_closed)) {}

void peer_connection::connect(const asio::ip::tcp::endpoint& to) {
    socket_.async_connect(
        to, [self = shared_from_this()](const error_code& error) {
            if (self->is_closed_) {
                return;
            }
            if (error) {
                self->fail(result_code::peer_unreachable, error.message());
                return;
            }
            self->start();
        });
}

void peer_connection::start() {
    is_connected_ = true;
    last_received_ = std::chrono::steady_clock::now();
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    // Closing sends a reset, so that buffered messages don't arrive after a
    // partition has healed: their sender treats them as lost.
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    read();
    write();
}

bool peer_connection::submit(std::string body) {
    if (is_closed_ || !session_.submit(std::move(body))) {
        return false;
    }
    last_used_ = std::chrono::steady_clock::now();
    write();
    return true;
}

void peer_connection::close() {
    is_closed_ = true;
    on_closed_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
}

void peer_connection::read() {
    socket_.async_read_some(asio::buffer(input_), [self = shared_from_this()](
                                                      const error_code& error,
                                                      std::size_t size) {
        if (self->is_closed_) {
            return;
        }
        if (error) {
            self->fail(result_code::peer_unreachable, error.message());
            return;
        }
        self->last_received_ = std::chrono::steady_clock::now();
        self->last_used_ = self->last_received_;
        const auto taken = self->session_.receive({self->input_.data(), size});
        if (!taken) {
            self->fail(taken.reason().code, taken.reason().detail);
            return;
        }
        self->write();
        self->read();
    });
}

void peer_connection::write() {
    if (!is_connected_ || is_writing_ || is_closed_) {
        return;
    }
    output_ = session_.take_output();
    if (output_.empty()) {
        if (session_.is_violated()) {
            fail(result_code::bad_frame, "HTTP/2 protocol violated");
        }
        return;
    }
    is_writing_ = true;
    asio::async_write(
        socket_, asio::buffer(output_),
        [self = shared_from_this()](const error_code& error, std::size_t) {
            self->is_writing_ = false;
            if (self->is_closed_) {
                return;
            }
            if (error) {
                self->fail(result_code::peer_unreachable, error.message());
                return;
            }
            self->write();
        });
}

void peer_connection::fail(result_code code, std::string why) {
    auto on_closed = std::move(on_closed_);
    close();
    if (on_closed) {
        on_closed({code, std::move(why)});
    }
}

} // namespace savorydock
