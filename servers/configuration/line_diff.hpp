#pragma once

#include <string>
#include <string_view>

namespace savorydock {

/// Returns the lines that turn one text into another: "-" before a line that
/// goes, "+" before one that comes, "@@ N" before each group of changes at
/// line N of the first text. Empty if the texts are equal. Thread safe.
///
/// The cost grows with the product of the lines that differ; beyond a bound
/// the whole middle is told as replaced.
[[nodiscard]] std::string line_diff(std::string_view from, std::string_view to);

} // namespace savorydock
