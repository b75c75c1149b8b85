#pragma once

#include "core/clock.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace savorydock {

/// A lock-free rate limit (generic cell rate algorithm). Its state is the time
/// at which the bucket will be full again. Thread safe.
class token_bucket {
public:
    /// `burst` is the size of the bucket, as the time in which it fills at the
    /// given rate. The bucket has room for one request at least.
    token_bucket(double requests_per_second, std::chrono::nanoseconds burst);

    /// Takes a token, or returns false if none is left. Counts the attempt in
    /// both cases.
    [[nodiscard]] bool admit(steady_time now);

    /// Takes a token even if none is left: the request is then due once the
    /// token would have come.
    void reserve(steady_time now);

    /// When the next token is available; `now` if there is one.
    [[nodiscard]] steady_time next_time(steady_time now) const;

    /// Changes the rate. The number of tokens missing from the bucket stays the
    /// same. Must not be called by two threads at once.
    void set_rate(double requests_per_second, steady_time now);
    /// Changes the rate and the size of the bucket.
    void set_rate(double requests_per_second, std::chrono::nanoseconds burst,
                  steady_time now);

    /// Returns the number of attempts since the last call, and resets it.
    [[nodiscard]] std::uint64_t take_attempts();

private:
    // Times are in nanoseconds; `full_at_` is on the steady clock.
    std::atomic<std::int64_t> interval_;
    std::atomic<std::int64_t> full_at_{0};
    std::atomic<std::uint64_t> attempts_{0};
    std::atomic<std::int64_t> burst_;
};

} // namespace savorydock
