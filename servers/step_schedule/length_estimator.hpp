#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace savorydock {

/// How long an answer is likely to be, in tokens.
struct expected_length {
    double mean = 0;
    /// Few answers are longer than this.
    double high = 0;
};

/// Learns the lengths of answers by the prompt's prefix. Bounded: when it is
/// full it forgets all but the overall mean. Not thread safe.
class length_estimator {
public:
    /// Takes the length of a whole answer.
    void learn(std::uint64_t prefix_hash, std::uint32_t tokens);

    /// What is known of the prefix, else of all answers.
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
