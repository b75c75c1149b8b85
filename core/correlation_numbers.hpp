#pragma once

#include <cstdint>
#include <random>

namespace savorydock {

/// Issues the numbers by which replies are matched to the requests of one
/// process.
///
/// The first number is random. A process that restarts keeps its instance's
/// name, and replies to requests of the process before may still arrive; they
/// must not match any of its own.
///
/// Not thread safe.
class correlation_numbers {
public:
    correlation_numbers()
        : last_(draw()) {}

    /// Returns a number that was not returned before.
    [[nodiscard]] std::uint64_t next() { return ++last_; }

private:
    static std::uint64_t draw() {
        std::random_device device;
        return std::uniform_int_distribution<std::uint64_t>()(device);
    }

    std::uint64_t last_;
};

} // namespace savorydock
