#pragma once

#include <string>
#include <string_view>

namespace savorydock {

/// Returns the first four hexadecimal digits of the SHA-256 digest, which tell
/// secrets apart in messages without showing them. Thread safe.
[[nodiscard]] std::string short_digest(std::string_view secret);

} // namespace savorydock
