#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/outcome.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace savorydock {

/// The first line on a connection to a peer's tunnel port: it asks the peer to
/// connect to an upstream and to pass on all further bytes.
struct tunnel_request {
    /// Equal on all instances of one deployment.
    std::string key;
    /// The instance that asks.
    instance_id from;
    endpoint upstream;

    bool operator==(const tunnel_request&) const = default;
};

/// The peer's answer, a single byte.
enum class tunnel_answer : char {
    /// The upstream is connected; all further bytes are passed on.
    accepted = 'A',
    /// The peer's limits are reached, or it is stopping.
    busy = 'B',
    /// The peer doesn't list the upstream.
    unknown_upstream = 'U',
    /// The peer can't connect to the upstream but reaches others.
    unreachable = 'R',
    /// The peer doesn't reach upstreams itself.
    isolated = 'I',
    /// The peer doesn't understand the request or refuses its key.
    malformed = 'M',
    /// No answer arrived. Never sent.
    none = 0,
};

/// The maximum length of an encoded request, including its line feed.
inline constexpr std::size_t max_tunnel_request_bytes = 512;

/// Encodes a request with its line feed. Precondition: no field contains a
/// space or a line feed. Thread safe.
[[nodiscard]] std::string encode_tunnel_request(const tunnel_request& request);

/// Decodes a request without its line feed. Errors: `invalid_document`. Thread
/// safe.
[[nodiscard]] outcome<tunnel_request>
parse_tunnel_request(std::string_view line);

/// Decodes an answer; `malformed` for an unknown one. Thread safe.
[[nodiscard]] tunnel_answer parse_tunnel_answer(char byte);

/// The answer in words, for logs. Thread safe.
[[nodiscard]] std::string_view to_text(tunnel_answer answer);

} // namespace savorydock
