#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace savorydock {

/// Sets the options of a connected socket: no delay, keep-alive probes, a limit
/// on unacknowledged bytes, and a reset when it is closed, because bytes that a
/// network partition delays must not reach their receiver once the call has
/// failed. Precondition: the socket is open.
void prepare_socket(boost::asio::ip::tcp::socket& socket);

/// Makes closing the socket end the connection in order, without a reset.
void close_in_order(boost::asio::ip::tcp::socket& socket);

} // namespace savorydock
