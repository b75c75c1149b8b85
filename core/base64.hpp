#pragma once

#include "core/outcome.hpp"

#include <string>
#include <string_view>

namespace savorydock {

/// Encodes bytes as padded base64. Thread safe.
[[nodiscard]] std::string to_base64(std::string_view bytes);

/// Decodes padded base64. Errors: `bad_frame`. Thread safe.
[[nodiscard]] outcome<std::string> from_base64(std::string_view text);

} // namespace savorydock
