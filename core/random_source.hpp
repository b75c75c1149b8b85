#pragma once

#include <cstdint>
#include <random>

namespace savorydock {

/// The random number generator interface for decision code. Not thread safe:
/// each thread needs its own.
class random_source {
public:
    virtual ~random_source() = default;

    /// Returns a number in [0, bound). Precondition: bound > 0.
    [[nodiscard]] virtual std::uint64_t below(std::uint64_t bound) = 0;
};

/// A random source with a given seed, for tests and reproducible processes.
class seeded_random_source final : public random_source {
public:
    explicit seeded_random_source(std::uint64_t seed)
        : engine_(seed) {}

    [[nodiscard]] std::uint64_t below(std::uint64_t bound) override {
        return std::uniform_int_distribution<std::uint64_t>(0,
                                                            bound - 1)(engine_);
    }

private:
    std::mt19937_64 engine_;
};

} // namespace savorydock
