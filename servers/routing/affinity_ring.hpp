#pragma once

#include "core/service_document.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace savorydock {

/// Consistent hashing of prompt prefixes over the upstreams of a service. All
/// instances prefer the same upstreams for a prefix without communicating, and
/// adding or removing an upstream moves few prefixes. Immutable and therefore
/// thread safe.
class affinity_ring {
public:
    affinity_ring() = default;

    /// Places every upstream on the ring. Positions are indexes into
    /// `upstreams`.
    explicit affinity_ring(std::span<const upstream_rule> upstreams);

    /// Calls `visit(position)` in order of preference until it returns true or
    /// `max_steps` points have been visited. May visit an upstream more than
    /// once.
    template <class Visitor>
    void walk(std::uint64_t prefix_hash, std::size_t max_steps,
              Visitor visit) const {
        if (points_.empty()) {
            return;
        }
        std::size_t at = first_at(prefix_hash);
        for (std::size_t step = 0; step < max_steps; ++step) {
            if (visit(points_[at].position)) {
                return;
            }
            at = at + 1 == points_.size() ? 0 : at + 1;
        }
    }

private:
    struct point {
        std::uint64_t hash = 0;
        std::uint32_t position = 0;
    };

    [[nodiscard]] std::size_t first_at(std::uint64_t prefix_hash) const;

    std::vector<point> points_;
};

/// Mixes 64 bits with one step of the SplitMix64 generator. Thread safe.
[[nodiscard]] constexpr std::uint64_t mix_bits(std::uint64_t value) {
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace savorydock
