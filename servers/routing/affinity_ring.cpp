#include "servers/routing/affinity_ring.hpp"

#include <algorithm>
#include <string_view>

namespace savorydock {

namespace {

constexpr std::size_t points_per_upstream = 16;

/// FNV-1a. Every instance must compute the same hash, which std::hash does not
/// guarantee.
std::uint64_t hash_text(std::string_view text) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char letter : text) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3ULL;
    }
    return hash;
}

} // namespace

affinity_ring::affinity_ring(std::span<const upstream_rule> upstreams) {
    points_.reserve(upstreams.size() * points_per_upstream);
    for (std::uint32_t position = 0; position < upstreams.size(); ++position) {
        const std::uint64_t seed = hash_text(upstreams[position].name.text());
        for (std::uint64_t copy = 0; copy < points_per_upstream; ++copy) {
            points_.push_back({mix_bits(seed + mix_bits(copy)), position});
        }
    }
    std::sort(points_.begin(), points_.end(),
              [](const point& a, const point& b) { return a.hash < b.hash; });
}

std::size_t affinity_ring::first_at(std::uint64_t prefix_hash) const {
    const auto found =
        std::lower_bound(points_.begin(), points_.end(), mix_bits(prefix_hash),
                         [](const point& candidate, std::uint64_t hash) {
                             return candidate.hash < hash;
                         });
    return found == points_.end()
               ? 0
               : static_cast<std::size_t>(found - points_.begin());
}

} // namespace savorydock
