#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// Returns a hash of a pair of texts that is the same on every instance and in
/// every version of the program. Thread safe.
[[nodiscard]] std::uint64_t stable_hash(std::string_view left,
                                        std::string_view right);

/// Chooses up to `count` of the candidates for a key by rendezvous hashing:
/// instances with the same list of candidates choose the same ones, and adding
/// or removing a candidate changes only the choices that include it.
/// Thread safe.
[[nodiscard]] std::vector<std::string>
choose_by_rendezvous(std::string_view key, std::vector<std::string> candidates,
                     std::size_t count);

} // namespace savorydock
