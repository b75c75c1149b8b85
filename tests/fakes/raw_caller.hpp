#pragma once

#include "core/endpoint.hpp"
#include "core/http_message.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <optional>
#include <string_view>

namespace savorydock {

/// A caller that keeps its connection open and sends whatever bytes its test
/// writes, with blocking calls. Not thread safe.
class raw_caller {
public:
    /// Throws boost::system::system_error if it can't connect.
    explicit raw_caller(const endpoint& address);

    /// Writes bytes as they are; returns false if the connection is closed.
    bool write(std::string_view bytes);

    /// Reads the next answer, which has a length or is chunked. Returns nothing
    /// if the connection ends first, or if `limit` passes.
    std::optional<http_response> read_answer(std::chrono::milliseconds limit);

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
};

} // namespace savorydock
