#pragma once

#include <string>
#include <string_view>

namespace savorydock {

/// Returns the line changes that turn one text into another: "-" before a
/// removed line, "+" before an added line, and "@@ N" before each group of
/// changes, where N is the line in the first text. Empty if the texts are
/// equal. Thread safe.
///
/// Time and memory grow with the product of the numbers of lines between the
/// first and the last difference in both texts. Above a limit that entire
/// region is returned as replaced.
[[nodiscard]] std::string line_diff(std::string_view from, std::string_view to);

} // namespace savorydock
