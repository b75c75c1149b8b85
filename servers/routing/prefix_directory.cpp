#include "servers/routing/prefix_directory.hpp"

#include "servers/routing/affinity_ring.hpp"

namespace savorydock {

namespace {

constexpr std::chrono::seconds hint_lifetime{120};
constexpr std::uint64_t half_word_mask = 0xffff;

/// Seconds of the clock, modulo 2^16 to fit into an entry.
std::uint64_t wrapped_seconds(steady_time now) {
    return static_cast<std::uint64_t>(
               std::chrono::duration_cast<std::chrono::seconds>(
                   now.time_since_epoch())
                   .count()) &
           half_word_mask;
}

} // namespace

void prefix_directory::learn(std::uint64_t prefix_hash, std::uint32_t position,
                             steady_time now) {
    if (prefix_hash == 0 || position > half_word_mask) {
        return;
    }
    const std::uint64_t mixed = mix_bits(prefix_hash);
    const std::uint64_t tag = mixed >> 32U;
    entries_[mixed % entry_count].store(
        (tag << 32U) | (std::uint64_t{position} << 16U) | wrapped_seconds(now),
        std::memory_order_relaxed);
}

std::optional<std::uint32_t> prefix_directory::find(std::uint64_t prefix_hash,
                                                    steady_time now) const {
    const std::uint64_t mixed = mix_bits(prefix_hash);
    const std::uint64_t entry =
        entries_[mixed % entry_count].load(std::memory_order_relaxed);
    if (entry == 0 || (entry >> 32U) != (mixed >> 32U)) {
        return std::nullopt;
    }
    const std::uint64_t age =
        (wrapped_seconds(now) - (entry & half_word_mask)) & half_word_mask;
    if (age > static_cast<std::uint64_t>(hint_lifetime.count())) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>((entry >> 16U) & half_word_mask);
}

} // namespace savorydock
