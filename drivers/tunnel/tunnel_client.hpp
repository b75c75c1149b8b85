#pragma once

#include "core/clock.hpp"
#include "drivers/tunnel/tunnel_preamble.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace savorydock {

/// The result of asking a peer for a tunnel. The socket is set if the answer is
/// `accepted`: what is written to it reaches the upstream.
struct tunnel_attempt {
    tunnel_answer answer = tunnel_answer::none;
    std::optional<boost::asio::ip::tcp::socket> socket;
};

/// Asks a peer for a tunnel to an upstream. Nothing has reached the upstream
/// when it returns. The answer is `none` if the peer can't be reached or hasn't
/// answered by the deadline. Runs on the context's thread.
boost::asio::awaitable<tunnel_attempt>
open_tunnel(boost::asio::io_context& context, endpoint peer,
            tunnel_request request, steady_time deadline);

} // namespace savorydock
