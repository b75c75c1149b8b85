#pragma once

#include "core/outcome.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace savorydock {

enum class http2_role : std::uint8_t { client, server };

/// Bounds of what one peer can make a session hold.
struct http2_limits {
    std::size_t max_body_bytes = 2U << 20U;
    /// Bodies of all open streams together.
    std::size_t max_buffered_bytes = 8U << 20U;
    std::uint32_t max_streams = 64;
};

struct http2_handlers {
    /// Server: takes a whole body, returns the HTTP status of the answer.
    std::function<unsigned(std::string body)> on_request;
    /// Server: a stream was refused before it was whole.
    std::function<void(const failure& reason)> on_refused;
    /// Client: a stream ended; the status is 0 if no answer came.
    std::function<void(unsigned status)> on_response;
};

/// HTTP/2 with prior knowledge for POST /peer, one message a stream, by
/// nghttp2. It does no I/O: bytes in, bytes out. Not thread safe. Handlers
/// run inside `receive` and must not call the session.
class http2_session {
public:
    http2_session(http2_role role, http2_limits limits,
                  http2_handlers handlers);
    ~http2_session();
    http2_session(const http2_session&) = delete;
    http2_session& operator=(const http2_session&) = delete;

    /// Client: queues a request; false if the limits forbid it.
    [[nodiscard]] bool submit(std::string body);

    /// Takes bytes from the peer. Errors: `bad_frame`; the connection must
    /// then be closed.
    [[nodiscard]] outcome<done> receive(std::string_view bytes);

    /// Bytes to send, at most about 64 KiB at once; empty if there are none.
    [[nodiscard]] std::string take_output();

    /// Whether the peer broke the protocol. True once the last words to the
    /// peer were taken as output; the connection must then be closed.
    [[nodiscard]] bool is_violated() const;

    [[nodiscard]] std::size_t open_streams() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace savorydock
