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

/// Limits on the memory that one peer can make a session use.
struct http2_limits {
    std::size_t max_body_bytes = 2U << 20U;
    /// Total size of the bodies of all open streams.
    std::size_t max_buffered_bytes = 8U << 20U;
    std::uint32_t max_streams = 64;
};

struct http2_handlers {
    /// Server: handles a complete body and returns the HTTP response status.
    std::function<unsigned(std::string body)> on_request;
    /// Server: a stream was refused because of its size or its method and path.
    std::function<void(const failure& reason)> on_refused;
    /// Server: whether so many more bytes of bodies may be kept. All may if
    /// empty.
    std::function<bool(std::size_t bytes)> may_keep;
    /// Client: a stream ended; the status is 0 if no response arrived.
    std::function<void(unsigned status)> on_response;
};

/// An HTTP/2 session with prior knowledge, based on nghttp2. Each message is
/// one stream, a POST to /peer. The session does no I/O: the caller feeds it
/// received bytes and sends its output. Not thread safe. Handlers run inside
/// `receive` and must not call the session.
class http2_session {
public:
    http2_session(http2_role role, http2_limits limits,
                  http2_handlers handlers);
    ~http2_session();
    http2_session(const http2_session&) = delete;
    http2_session& operator=(const http2_session&) = delete;

    /// Client: queues a request; false if it would exceed the limits.
    [[nodiscard]] bool submit(std::string body);

    /// Processes bytes from the peer. Errors: `bad_frame`; the connection must
    /// then be closed.
    [[nodiscard]] outcome<done> receive(std::string_view bytes);

    /// Returns bytes to send, about 64 KiB at most; empty if there are none.
    [[nodiscard]] std::string take_output();

    /// Whether the peer violated the protocol. Becomes true once the final
    /// output has been taken; the connection must then be closed.
    [[nodiscard]] bool is_violated() const;

    [[nodiscard]] std::size_t open_streams() const;

    /// Total size of the bodies of all open streams.
    [[nodiscard]] std::size_t buffered_bytes() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace savorydock
