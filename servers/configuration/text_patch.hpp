#pragma once

#include <boost/describe/class.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savorydock {

/// The change from one text to another as one replaced range of bytes, which
/// suits most edits of a document.
struct text_patch {
    /// Number of bytes kept at the beginning and at the end.
    std::uint32_t prefix = 0;
    std::uint32_t suffix = 0;
    /// The bytes between them in the new text.
    std::string middle;
};
BOOST_DESCRIBE_STRUCT(text_patch, (), (prefix, suffix, middle))

/// Returns the smallest such patch. Precondition: both texts are
/// shorter than 4 GB. Thread safe.
[[nodiscard]] text_patch make_patch(std::string_view from, std::string_view to);

/// Returns the new text, or nothing if `from` is too short for the patch.
/// Thread safe.
[[nodiscard]] std::optional<std::string> apply_patch(std::string_view from,
                                                     const text_patch& patch);

} // namespace savorydock
