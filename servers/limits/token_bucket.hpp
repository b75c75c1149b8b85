#pragma once

#include "core/clock.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace savorydock {

/// A rate limit without a lock (the generic cell rate algorithm): it keeps
/// the time at which the bucket would be full again. Thread safe.
class token_bucket {
public:
    /// `burst` is how much time's worth of requests may come at once; one
    /// request always may.
    token_bucket(double requests_per_second, std::chrono::nanoseconds burst);

    /// Takes a token, or returns false. Either way the attempt is counted.
    [[nodiscard]] bool admit(steady_time now);

    /// Changes the rate; what is owed stays the same number of requests.
    /// One thread at a time may call it.
    void set_rate(double requests_per_second, steady_time now);

    /// Attempts since the last call.
    [[nodiscard]] std::uint64_t take_attempts();

private:
    std::atomic<std::int64_t> interval_;
    std::atomic<std::int64_t> full_at_{0};
    std::atomic<std::uint64_t> attempts_{0};
    const std::int64_t burst_;
};

} // namespace savorydock
