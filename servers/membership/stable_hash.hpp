#pragma once

#include <cstdint>
#include <string_view>

namespace savorydock {

/// A hash that has the same value in every process (64-bit FNV-1a with a final
/// mix), for choices on which all instances must agree. Thread safe.
[[nodiscard]] constexpr std::uint64_t stable_hash(std::string_view text,
                                                  std::uint64_t seed = 0) {
    constexpr std::uint64_t offset_basis = 0xcbf29ce484222325;
    constexpr std::uint64_t prime = 0x100000001b3;
    constexpr std::uint64_t mix = 0xff51afd7ed558ccd;
    std::uint64_t hash = offset_basis ^ seed;
    for (const char byte : text) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * prime;
    }
    hash = (hash ^ (hash >> 33U)) * mix;
    return hash ^ (hash >> 33U);
}

} // namespace savorydock
