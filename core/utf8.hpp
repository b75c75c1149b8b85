#pragma once

#include <string>
#include <string_view>

namespace savorydock {

/// Whether the bytes are well-formed UTF-8: no overlong forms, surrogates or
/// code points above U+10FFFF. Thread safe.
[[nodiscard]] bool is_utf8(std::string_view bytes);

/// Returns the bytes with U+FFFD in place of each byte that isn't part of a
/// well-formed sequence. Thread safe.
[[nodiscard]] std::string replace_invalid_utf8(std::string_view bytes);

} // namespace savorydock
