#include "drivers/http/request_assembler.hpp"

#include <boost/asio/buffer.hpp>

#include <algorithm>

namespace savorydock {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// An empty input above this capacity is freed, so that a connection that waits
/// for more of a body, or for its next request, holds no read buffer.
constexpr std::size_t kept_input_bytes = 1'024;

bool is_over_limit(const beast::error_code& error) {
    return error == http::error::body_limit ||
           error == http::error::header_limit;
}

} // namespace

request_assembler::request_assembler(beast::flat_buffer& input,
                                     caller_memory::share& memory,
                                     const caller_limits& limits)
    : input_(input)
    , memory_(memory)
    , max_header_bytes_(limits.max_header_bytes)
    , max_body_bytes_(limits.max_body_bytes) {
    parser_.header_limit(limits.max_header_bytes);
    parser_.body_limit(limits.max_body_bytes);
}

request_state request_assembler::add(std::string_view bytes, steady_time now) {
    boost::asio::buffer_copy(input_.prepare(bytes.size()),
                             boost::asio::buffer(bytes));
    input_.commit(bytes.size());
    const request_state state = parse(now);
    shrink_input();
    const bool is_reserved = reserve(body_.size(), now);
    return state == request_state::incomplete && !is_reserved
               ? request_state::overloaded
               : state;
}

request_state request_assembler::parse(steady_time now) {
    while (!parser_.is_done()) {
        if (input_.size() == 0) {
            return request_state::incomplete;
        }
        const bool is_body = parser_.is_header_done();
        if (is_body && !open_window(now)) {
            return request_state::overloaded;
        }
        beast::error_code error;
        const std::size_t used = parser_.put(input_.cdata(), error);
        input_.consume(used);
        if (is_body) {
            close_window();
        } else {
            head_bytes_ += used;
        }
        if (error == http::error::need_more) {
            // The parser has no limit for trailers and chunk extensions, which
            // it keeps in the input until they are complete.
            return is_body && input_.size() > max_header_bytes_
                       ? request_state::too_large
                       : request_state::incomplete;
        }
        if (is_over_limit(error)) {
            return request_state::too_large;
        }
        if (error && error != http::error::need_buffer) {
            return request_state::malformed;
        }
    }
    return request_state::complete;
}

bool request_assembler::open_window(steady_time now) {
    const auto announced = parser_.content_length_remaining();
    const std::size_t begin = body_.size();
    const std::size_t size =
        announced ? static_cast<std::size_t>(
                        std::min<std::uint64_t>(input_.size(), *announced))
                  : input_.size();
    if (!reserve(begin + size, now)) {
        return false;
    }
    if (begin + size > body_.capacity()) {
        // The pages of a reservation are taken only when they are written.
        body_.reserve(
            announced ? begin + static_cast<std::size_t>(*announced)
                      : std::max(begin + size, std::min(2 * body_.capacity(),
                                                        max_body_bytes_)));
    }
    body_.resize(begin + size);
    auto& window = parser_.get().body();
    window.data = body_.data() + begin;
    window.size = size;
    window.more = true;
    return true;
}

void request_assembler::close_window() {
    auto& window = parser_.get().body();
    body_.resize(body_.size() - window.size);
    window.data = nullptr;
    window.size = 0;
}

bool request_assembler::reserve(std::size_t body_bytes, steady_time now) {
    return memory_.resize(head_bytes_ + input_.capacity() + body_bytes, now);
}

void request_assembler::shrink_input() {
    if (input_.size() == 0 && input_.capacity() > kept_input_bytes) {
        input_.shrink_to_fit();
    }
}

http_request request_assembler::take_request() {
    const auto& source = parser_.get();
    http_request request{
        .method = std::string(source.method_string()),
        .target = std::string(source.target()),
        .body = std::move(body_),
    };
    for (const auto& field : source) {
        request.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    return request;
}

} // namespace savorydock
