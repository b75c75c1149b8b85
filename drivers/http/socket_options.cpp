#include "drivers/http/socket_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace savorydock {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// TCP keepalive detects connections whose peer no longer responds: the first
/// probe is sent after the idle time, then one per interval.
constexpr int probe_idle_seconds = 1;
constexpr int probe_interval_seconds = 1;
constexpr int probe_count = 2;
/// A connection is closed if sent bytes stay unacknowledged for this long. The
/// kernel also uses it in place of the probe count.
constexpr int unacknowledged_milliseconds = 3'000;

} // namespace

void prepare_socket(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    const auto set = [&](int level, int option, int value) {
        // Without the option an unreachable peer is only detected later.
        ::setsockopt(socket.native_handle(), level, option, &value,
                     sizeof value);
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, probe_idle_seconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_seconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, probe_count);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_milliseconds);
}

void close_in_order(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(false, 0), ignored);
    socket.close(ignored);
}

} // namespace savorydock
