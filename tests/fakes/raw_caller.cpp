#include "tests/fakes/raw_caller.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace savorydock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

raw_caller::raw_caller(const endpoint& address)
    : socket_(context_) {
    socket_.connect(
        tcp::endpoint(asio::ip::make_address(address.address), address.port));
}

bool raw_caller::write(std::string_view bytes) {
    boost::system::error_code error;
    asio::write(socket_, asio::buffer(bytes), error);
    return !error;
}

std::optional<http_response>
raw_caller::read_answer(std::chrono::milliseconds limit) {
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    std::optional<boost::system::error_code> end;
    http::async_read(
        socket_, buffer, parser,
        [&](boost::system::error_code error, std::size_t) { end = error; });
    context_.restart();
    context_.run_for(limit);
    if (!end) {
        socket_.cancel();
        context_.restart();
        context_.run();
        return std::nullopt;
    }
    if (*end) {
        return std::nullopt;
    }
    auto message = parser.release();
    http_response answer{.status = message.result_int(),
                         .body = std::move(message.body())};
    for (const auto& field : message) {
        answer.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    return answer;
}

} // namespace savorydock
