#include "drivers/http/connector.hpp"

#include "drivers/http/socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace savorydock {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr auto await = asio::as_tuple(asio::use_awaitable);

failure failed_to_connect(const beast::error_code& error) {
    if (error == asio::error::operation_aborted) {
        return {result_code::cancelled_by_caller, error.message()};
    }
    const bool is_timeout = error == beast::error::timeout;
    return {is_timeout ? result_code::not_run_deadline
                       : result_code::not_run_no_upstream,
            error.message()};
}

} // namespace

asio::awaitable<outcome<opened_connection>>
direct_connector::connect(endpoint address, steady_time deadline) {
    beast::error_code error;
    const auto ip = asio::ip::make_address(address.address, error);
    if (error) {
        co_return failed_to_connect(error);
    }
    beast::tcp_stream stream(context_);
    stream.expires_at(deadline);
    const tcp::endpoint remote(ip, address.port);
    std::tie(error) = co_await stream.async_connect(remote, await);
    if (error) {
        co_return failed_to_connect(error);
    }
    opened_connection opened{.socket = stream.release_socket()};
    prepare_socket(opened.socket);
    co_return std::move(opened);
}

} // namespace savorydock
