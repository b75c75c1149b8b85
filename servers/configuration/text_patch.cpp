#include "servers/configuration/text_patch.hpp"

#include <algorithm>

namespace savorydock {

text_patch make_patch(std::string_view from, std::string_view to) {
    const std::size_t limit = std::min(from.size(), to.size());
    const auto prefix = static_cast<std::size_t>(
        std::mismatch(from.begin(), from.begin() + limit, to.begin()).first -
        from.begin());
    const auto rest = static_cast<std::ptrdiff_t>(limit - prefix);
    const auto suffix = static_cast<std::size_t>(
        std::mismatch(from.rbegin(), from.rbegin() + rest, to.rbegin()).first -
        from.rbegin());
    return {
        .prefix = static_cast<std::uint32_t>(prefix),
        .suffix = static_cast<std::uint32_t>(suffix),
        .middle = std::string(to.substr(prefix, to.size() - prefix - suffix)),
    };
}

std::optional<std::string> apply_patch(std::string_view from,
                                       const text_patch& patch) {
    const std::uint64_t kept = std::uint64_t{patch.prefix} + patch.suffix;
    if (kept > from.size()) {
        return {};
    }
    std::string text(from.substr(0, patch.prefix));
    text += patch.middle;
    text += from.substr(from.size() - patch.suffix);
    return text;
}

} // namespace savorydock
