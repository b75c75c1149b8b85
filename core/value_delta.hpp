#pragma once

#include "core/outcome.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace savorydock {

/// Largest value that `encode_delta` and `decode_delta` handle.
inline constexpr std::size_t max_delta_value_bytes = 4U << 20U;

/// Compresses a value. Parts that it shares with `base`, an earlier version of
/// it, take next to no space; an empty base has none. Returns an empty string
/// if it can't be compressed. Thread safe.
[[nodiscard]] std::string encode_delta(std::string_view value,
                                       std::string_view base);

/// Restores a value from the result of `encode_delta` and the same base.
/// Errors: `bad_frame` if the bytes are damaged, or of another base, or of a
/// larger value than allowed. Thread safe.
[[nodiscard]] outcome<std::string> decode_delta(std::string_view bytes,
                                                std::string_view base);

} // namespace savorydock
