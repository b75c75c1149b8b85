#pragma once

#include "core/clock.hpp"
#include "core/http_message.hpp"
#include "core/instance_settings.hpp"
#include "servers/admission/caller_memory.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace savorydock {

/// What a request's bytes so far amount to.
enum class request_state : std::uint8_t {
    incomplete,
    complete,
    malformed,
    /// The head, the trailers, a chunk's extension or the body is over its
    /// limit.
    too_large,
    /// There is no memory for the rest of the request.
    overloaded,
};

/// Puts one request together from the bytes of a connection. Does no I/O. Holds
/// at most the body, the head and what one `add` brings, all of which is
/// reserved from `memory`. Not thread safe.
class request_assembler {
public:
    /// `input` holds the bytes of the connection that belong to no request yet.
    /// All references must outlive the assembler.
    request_assembler(boost::beast::flat_buffer& input,
                      caller_memory::share& memory,
                      const caller_limits& limits);

    /// Adds bytes that were received, possibly none. Precondition: the state
    /// was `incomplete` before.
    [[nodiscard]] request_state add(std::string_view bytes, steady_time now);

    /// Takes the request. Bytes after it remain in the input. Precondition: it
    /// is complete.
    [[nodiscard]] http_request take_request();

    [[nodiscard]] bool is_head_complete() const {
        return parser_.is_header_done();
    }
    [[nodiscard]] bool is_keep_alive() const { return parser_.keep_alive(); }
    [[nodiscard]] std::size_t body_bytes() const { return body_.size(); }

private:
    [[nodiscard]] request_state parse(steady_time now);
    /// Offers room for the next bytes of the body. Returns false if there is no
    /// memory for them.
    [[nodiscard]] bool open_window(steady_time now);
    void close_window();
    [[nodiscard]] bool reserve(std::size_t body_bytes, steady_time now);
    void shrink_input();

    boost::beast::flat_buffer& input_;
    caller_memory::share& memory_;
    std::size_t max_header_bytes_;
    std::size_t max_body_bytes_;
    boost::beast::http::request_parser<boost::beast::http::buffer_body> parser_;
    std::string body_;
    std::size_t head_bytes_ = 0;
};

} // namespace savorydock
