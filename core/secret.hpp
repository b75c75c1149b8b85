#pragma once

#include <string_view>

namespace savorydock {

/// Compares two secrets in a time that does not depend on where they differ.
/// Thread safe.
[[nodiscard]] bool is_same_secret(std::string_view left,
                                  std::string_view right);

} // namespace savorydock
