#include "drivers/tunnel/tunnel_client.hpp"

#include "drivers/http/socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace savorydock {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

asio::awaitable<tunnel_attempt> open_tunnel(asio::io_context& context,
                                            endpoint peer,
                                            tunnel_request request,
                                            steady_time deadline) {
    constexpr auto await = asio::as_tuple(asio::use_awaitable);
    tunnel_attempt attempt;
    beast::error_code error;
    const auto ip = asio::ip::make_address(peer.address, error);
    if (error) {
        co_return attempt;
    }
    beast::tcp_stream stream(context);
    stream.expires_at(deadline);
    const tcp::endpoint remote(ip, peer.port);
    std::tie(error) = co_await stream.async_connect(remote, await);
    if (error) {
        co_return attempt;
    }
    prepare_socket(stream.socket());
    const std::string line = encode_tunnel_request(request);
    std::size_t size = 0;
    std::tie(error, size) =
        co_await asio::async_write(stream, asio::buffer(line), await);
    if (error) {
        co_return attempt;
    }
    char byte = 0;
    std::tie(error, size) =
        co_await asio::async_read(stream, asio::buffer(&byte, 1), await);
    if (error) {
        co_return attempt;
    }
    attempt.answer = parse_tunnel_answer(byte);
    if (attempt.answer == tunnel_answer::accepted) {
        attempt.socket = stream.release_socket();
    }
    co_return attempt;
}

} // namespace savorydock
