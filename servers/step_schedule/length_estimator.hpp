#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace savorydock {

/// Expected length of an answer, in tokens.
struct expected_length {
    double mean = 0;
    /// Upper estimate; few answers are longer.
    double high = 0;
};

/// Learns the length of answers by the hash of the prompt's prefix. Bounded:
/// once `max_prefixes` are known, a new prefix discards all estimates but the
/// overall one. Not thread safe.
class length_estimator {
public:
    /// Adds the length of a complete answer.
    void learn(std::uint64_t prefix_hash, std::uint32_t tokens);

    /// Returns the estimate for the prefix, or for all answers if the prefix
    /// is unknown.
    [[nodiscard]] expected_length expect(std::uint64_t prefix_hash) const;

private:
    struct moving_estimate {
        double mean = 0;
        double deviation = 0;
        std::uint32_t count = 0;

        void add(double value);
    };

    static constexpr std::size_t max_prefixes = 65'536;

    std::unordered_map<std::uint64_t, moving_estimate> by_prefix_;
    moving_estimate overall_;
};

} // namespace savorydock
