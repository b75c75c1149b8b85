#pragma once

#include "core/clock.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace savorydock {

/// A bounded, lossy memory of which upstream holds which prompt prefix.
/// Entries are hints: they expire, and newer prefixes overwrite older ones.
/// Every method is thread safe and lock free.
class prefix_directory {
public:
    /// Notes that the upstream at `position` holds the prefix.
    void learn(std::uint64_t prefix_hash, std::uint32_t position,
               steady_time now);

    /// The position that was last noted, if that was not too long ago.
    [[nodiscard]] std::optional<std::uint32_t> find(std::uint64_t prefix_hash,
                                                    steady_time now) const;

private:
    static constexpr std::size_t entry_count = 4096;

    /// Tag (32 bits), position (16 bits), second (16 bits); 0 is empty.
    std::array<std::atomic<std::uint64_t>, entry_count> entries_{};
};

} // namespace savorydock
