#pragma once

#include "core/outcome.hpp"

#include <string>

namespace savorydock {

/// Reads a complete file. Errors: `not_found`. Thread safe.
[[nodiscard]] outcome<std::string> read_text_file(const std::string& file);

} // namespace savorydock
