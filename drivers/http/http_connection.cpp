#include "drivers/http/http_connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace savorydock {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// What the system grants a connection before it has carried much.
constexpr int unread_bytes = 65'536;
/// Fits several parts of an answer, so that its caller needn't wait between
/// them.
constexpr int unsent_bytes = 262'144;
/// Idle connections that are examined before one is closed.
constexpr int max_examined = 8;

std::string address_of(const tcp::socket& socket) {
    boost::system::error_code error;
    const auto remote = socket.remote_endpoint(error);
    return error ? std::string() : remote.address().to_string();
}

} // namespace

http_connection::http_connection(tcp::socket socket,
                                 std::shared_ptr<caller_memory> memory)
    : socket_(std::move(socket))
    , memory_(std::move(memory), address_of(socket_),
              [this] {
                  boost::system::error_code ignored;
                  socket_.cancel(ignored);
              })
    , timer_(socket_.get_executor()) {}

void http_connection::set_deadline(steady_time deadline) {
    is_expired_ = false;
    deadline_ = deadline;
    if (deadline < armed_until_) {
        arm();
    }
}

void http_connection::arm() {
    armed_until_ = deadline_;
    timer_.expires_at(deadline_);
    timer_.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& error) {
            const auto self = weak.lock();
            if (error || !self) {
                return;
            }
            self->armed_until_ = steady_time::max();
            if (self->deadline_ == steady_time::max()) {
                return;
            }
            if (std::chrono::steady_clock::now() < self->deadline_) {
                self->arm();
                return;
            }
            self->deadline_ = steady_time::max();
            self->is_expired_ = true;
            boost::system::error_code ignored;
            self->socket_.cancel(ignored);
        });
}

bool http_connection::has_unread_bytes() {
    char byte = 0;
    return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >
           0;
}

void http_connection::reset() {
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

void http_connection::limit_received_bytes() {
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_WINDOW_CLAMP,
                 &unread_bytes, sizeof(unread_bytes));
}

void http_connection::limit_sent_bytes() {
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDBUF, &unsent_bytes,
                 sizeof(unsent_bytes));
}

void connection_list::set_phase(http_connection& connection,
                                connection_phase phase) {
    connection.unlink();
    switch (phase) {
    case connection_phase::closing:
        closing_.push_back(connection);
        break;
    case connection_phase::idle:
        idle_.push_back(connection);
        break;
    case connection_phase::head:
        heads_.push_back(connection);
        break;
    case connection_phase::busy:
        break;
    }
}

bool connection_list::close_one() {
    const auto close_first = [](list& from) {
        if (from.empty()) {
            return false;
        }
        http_connection& closed = from.front();
        closed.unlink();
        boost::system::error_code ignored;
        closed.socket().close(ignored);
        return true;
    };
    if (close_first(closing_)) {
        return true;
    }
    // A request that has just arrived on an idle connection would be lost.
    for (int i = 0;
         i < max_examined && !idle_.empty() && idle_.front().has_unread_bytes();
         ++i) {
        idle_.splice(idle_.end(), idle_, idle_.begin());
    }
    return close_first(idle_) || close_first(heads_);
}

} // namespace savorydock
