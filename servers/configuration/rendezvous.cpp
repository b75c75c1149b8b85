#include "servers/configuration/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

namespace {

// FNV-1a, followed by the finalizer of splitmix64, because the high bits of
// FNV-1a are poorly mixed.
constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325;
constexpr std::uint64_t fnv_prime = 0x100000001b3;

std::uint64_t add_text(std::uint64_t hash, std::string_view text) {
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= fnv_prime;
    }
    return hash;
}

std::uint64_t finalize(std::uint64_t hash) {
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
    return hash ^ (hash >> 31);
}

} // namespace

std::uint64_t stable_hash(std::string_view left, std::string_view right) {
    using namespace std::string_view_literals;
    // The zero byte makes ("a", "bc") differ from ("ab", "c").
    return finalize(
        add_text(add_text(add_text(fnv_offset, left), "\0"sv), right));
}

std::vector<std::string>
choose_by_rendezvous(std::string_view key, std::vector<std::string> candidates,
                     std::size_t count) {
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(candidates.size());
    for (std::string& candidate : candidates) {
        const std::uint64_t rank = stable_hash(key, candidate);
        ranked.emplace_back(rank, std::move(candidate));
    }
    const std::size_t kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end(), std::greater<>());
    std::vector<std::string> chosen;
    chosen.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i) {
        chosen.push_back(std::move(ranked[i].second));
    }
    return chosen;
}

} // namespace savorydock
