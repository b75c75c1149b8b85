#pragma once

#include <cstddef>
#include <string_view>

namespace savorydock {

/// Returns whether `bytes` is exactly one CBOR value that a recursive decoder
/// can read with little stack: containers are nested at most `max_depth` deep,
/// and there are no tags and no values of indefinite length, which
/// `wire::encode` never writes. Uses constant stack. Thread safe.
[[nodiscard]] bool is_bounded_cbor(std::string_view bytes,
                                   std::size_t max_depth);

} // namespace savorydock
