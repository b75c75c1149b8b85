#include "drivers/http/http_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <thread>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

class http_client_reset_test : public ::testing::Test {};

} // namespace

// A message that is still buffered during a network partition must not be
// delivered after its sender has abandoned it. An ordinary close would still
// deliver it once the partition heals, seconds later; a reset discards it.
TEST_F(http_client_reset_test, given_up_call_resets_its_connection) {
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(tcp::v4(), 0));
    boost::system::error_code end;
    std::thread server([&] {
        tcp::socket socket(context);
        acceptor.accept(socket);
        std::this_thread::sleep_for(300ms);
        std::array<char, 4096> bytes{};
        while (!end) {
            socket.read_some(asio::buffer(bytes), end);
        }
    });
    const auto result = call_blocking(
        {.address = "127.0.0.1", .port = acceptor.local_endpoint().port()},
        {.method = "POST", .target = "/a", .body = "x"}, 100ms);
    server.join();
    EXPECT_FALSE(result);
    EXPECT_EQ(end, asio::error::connection_reset);
}
