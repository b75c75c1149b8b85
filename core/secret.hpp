#pragma once

#include <string_view>

namespace savorydock {

/// Compares two secrets of the same length in constant time, so that the time
/// does not reveal where they differ. Thread safe.
[[nodiscard]] bool is_same_secret(std::string_view left,
                                  std::string_view right);

} // namespace savorydock
