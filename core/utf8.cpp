#include "core/utf8.hpp"

#include <boost/locale/utf.hpp>

namespace savorydock {

namespace utf = boost::locale::utf;

namespace {

constexpr std::string_view replacement_character = "\xef\xbf\xbd";

/// Returns the length of the well-formed sequence at the beginning; 0 if there
/// is none.
std::size_t first_sequence_length(std::string_view bytes) {
    const char* at = bytes.data();
    const auto code = utf::utf_traits<char>::decode(at, at + bytes.size());
    const bool is_valid = code != utf::illegal && code != utf::incomplete;
    return is_valid ? static_cast<std::size_t>(at - bytes.data()) : 0;
}

} // namespace

bool is_utf8(std::string_view bytes) {
    while (!bytes.empty()) {
        const std::size_t length = first_sequence_length(bytes);
        if (length == 0) {
            return false;
        }
        bytes.remove_prefix(length);
    }
    return true;
}

std::string replace_invalid_utf8(std::string_view bytes) {
    std::string valid;
    valid.reserve(bytes.size() + replacement_character.size());
    while (!bytes.empty()) {
        const std::size_t length = first_sequence_length(bytes);
        if (length == 0) {
            valid += replacement_character;
            bytes.remove_prefix(1);
            continue;
        }
        valid += bytes.substr(0, length);
        bytes.remove_prefix(length);
    }
    return valid;
}

} // namespace savorydock
