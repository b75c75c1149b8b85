#include "core/cbor_shape.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace savorydock {

namespace {

enum class major_type : std::uint8_t {
    unsigned_number = 0,
    negative_number = 1,
    bytes = 2,
    text = 3,
    list = 4,
    map = 5,
    tag = 6,
    simple = 7,
};

/// The first part of a value: its type and its number or length.
struct item_head {
    major_type type = major_type::simple;
    std::uint64_t argument = 0;
};

/// Removes the head of a value from `bytes`. Returns nothing if it is truncated
/// or of indefinite length.
std::optional<item_head> take_head(std::string_view& bytes) {
    constexpr unsigned type_shift = 5;
    constexpr unsigned info_mask = 31;
    constexpr unsigned first_long_argument = 24;
    constexpr unsigned last_long_argument = 27;
    constexpr unsigned bits_per_byte = 8;
    if (bytes.empty()) {
        return std::nullopt;
    }
    const auto first = static_cast<std::uint8_t>(bytes.front());
    bytes.remove_prefix(1);
    const unsigned info = first & info_mask;
    item_head head{.type = static_cast<major_type>(first >> type_shift),
                   .argument = info};
    if (info < first_long_argument) {
        return head;
    }
    if (info > last_long_argument) {
        return std::nullopt;
    }
    const std::size_t size = std::size_t{1} << (info - first_long_argument);
    if (bytes.size() < size) {
        return std::nullopt;
    }
    head.argument = 0;
    for (const char byte : bytes.substr(0, size)) {
        head.argument =
            (head.argument << bits_per_byte) | static_cast<std::uint8_t>(byte);
    }
    bytes.remove_prefix(size);
    return head;
}

} // namespace

bool is_bounded_cbor(std::string_view bytes, std::size_t max_depth) {
    // For each open container: how many values are still to come.
    std::vector<std::uint64_t> open;
    do {
        const auto head = take_head(bytes);
        if (!head || head->type == major_type::tag) {
            return false;
        }
        if (!open.empty()) {
            --open.back();
        }
        const bool is_map = head->type == major_type::map;
        const bool is_string =
            head->type == major_type::bytes || head->type == major_type::text;
        if (is_string) {
            if (head->argument > bytes.size()) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(head->argument));
        } else if (is_map || head->type == major_type::list) {
            // Each value takes at least one byte.
            if (head->argument > bytes.size() || open.size() >= max_depth) {
                return false;
            }
            open.push_back(is_map ? 2 * head->argument : head->argument);
        }
        while (!open.empty() && open.back() == 0) {
            open.pop_back();
        }
    } while (!open.empty());
    return bytes.empty();
}

} // namespace savorydock
