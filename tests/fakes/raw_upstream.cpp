#include "tests/fakes/raw_upstream.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <sys/socket.h>

namespace savorydock {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::string_view header_end = "\r\n\r\n";
/// How often a blocked read or write checks whether the upstream is being
/// destroyed.
constexpr timeval check_interval{.tv_sec = 0, .tv_usec = 50'000};

} // namespace

std::string raw_connection::read_request() {
    std::array<char, 4096> bytes{};
    while (!is_stopped_) {
        const std::size_t end = read_ahead_.find(header_end);
        if (end != std::string::npos) {
            std::string request =
                read_ahead_.substr(0, end + header_end.size());
            read_ahead_.erase(0, request.size());
            return request;
        }
        const auto count =
            ::recv(socket_.native_handle(), bytes.data(), bytes.size(), 0);
        if (count == 0 || (count < 0 && errno != EAGAIN)) {
            break;
        }
        if (count > 0) {
            read_ahead_.append(bytes.data(), static_cast<std::size_t>(count));
        }
    }
    return {};
}

bool raw_connection::skip(std::size_t count) {
    std::array<char, 65'536> bytes{};
    const std::size_t known = std::min(count, read_ahead_.size());
    read_ahead_.erase(0, known);
    count -= known;
    while (count > 0 && !is_stopped_) {
        const auto received = ::recv(socket_.native_handle(), bytes.data(),
                                     std::min(count, bytes.size()), 0);
        if (received == 0 || (received < 0 && errno != EAGAIN)) {
            return false;
        }
        count -= received > 0 ? static_cast<std::size_t>(received) : 0;
    }
    return count == 0;
}

bool raw_connection::write(std::string_view bytes) {
    while (!bytes.empty() && !is_stopped_) {
        const auto count = ::send(socket_.native_handle(), bytes.data(),
                                  bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN) {
            return false;
        }
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
    }
    return !is_stopped_;
}

std::size_t
raw_connection::write_until_closed(std::string_view piece,
                                   std::chrono::milliseconds pause) {
    std::size_t written = 0;
    while (write(piece)) {
        written += piece.size();
        std::this_thread::sleep_for(pause);
    }
    return written;
}

raw_upstream::raw_upstream(script run)
    : run_(std::move(run))
    , acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , accept_thread_([this] { accept(); }) {}

raw_upstream::~raw_upstream() {
    is_stopped_ = true;
    // Wakes the blocking accept.
    boost::system::error_code ignored;
    tcp::socket waker(context_);
    waker.connect(acceptor_.local_endpoint(), ignored);
    accept_thread_.join();
    for (std::thread& thread : threads_) {
        thread.join();
    }
}

endpoint raw_upstream::address() const {
    return {.address = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
}

void raw_upstream::accept() {
    while (!is_stopped_) {
        tcp::socket socket(context_);
        boost::system::error_code error;
        acceptor_.accept(socket, error);
        if (error || is_stopped_) {
            return;
        }
        for (const int option : {SO_RCVTIMEO, SO_SNDTIMEO}) {
            ::setsockopt(socket.native_handle(), SOL_SOCKET, option,
                         &check_interval, sizeof check_interval);
        }
        const std::size_t number = connections_++;
        threads_.emplace_back(
            [this, number, moved = std::move(socket)]() mutable {
                raw_connection connection(moved, is_stopped_);
                run_(connection, number);
            });
    }
}

std::string header_of(const std::string& request, const std::string& name) {
    const std::string start = "\r\n" + name + ": ";
    const std::size_t at = request.find(start);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + start.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

} // namespace savorydock
