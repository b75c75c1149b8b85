#pragma once

#include "core/clock.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace savorydock {

/// A lossy table of fixed size that maps prompt prefixes to the upstream that
/// probably has them in its cache. Entries are hints: they expire, and an entry
/// is overwritten by any prefix that hashes to the same slot. Every method is
/// thread safe and lock free.
class prefix_directory {
public:
    /// Records that the upstream at `position` holds the prefix.
    void learn(std::uint64_t prefix_hash, std::uint32_t position,
               steady_time now);

    /// Returns the recorded position unless the entry has expired or has been
    /// overwritten.
    [[nodiscard]] std::optional<std::uint32_t> find(std::uint64_t prefix_hash,
                                                    steady_time now) const;

private:
    static constexpr std::size_t entry_count = 4096;

    /// Each entry packs a tag of the prefix hash (32 bits), the position
    /// (16 bits) and the second at which it was recorded (16 bits); 0 is empty.
    std::array<std::atomic<std::uint64_t>, entry_count> entries_{};
};

} // namespace savorydock
