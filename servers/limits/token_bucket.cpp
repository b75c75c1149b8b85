#include "servers/limits/token_bucket.hpp"

#include <algorithm>

namespace savorydock {

namespace {

constexpr double nanoseconds_per_second = 1e9;
/// Minimum rate in requests per second; lower rates are raised to it.
constexpr double min_rate = 1e-6;

/// Time between two requests, in nanoseconds.
std::int64_t interval_of(double requests_per_second) {
    return static_cast<std::int64_t>(nanoseconds_per_second /
                                     std::max(requests_per_second, min_rate));
}

} // namespace

token_bucket::token_bucket(double requests_per_second,
                           std::chrono::nanoseconds burst)
    : interval_(interval_of(requests_per_second))
    , burst_(burst.count()) {}

bool token_bucket::admit(steady_time now) {
    attempts_.fetch_add(1, std::memory_order_relaxed);
    const std::int64_t time =
        std::chrono::nanoseconds(now.time_since_epoch()).count();
    const std::int64_t interval = interval_.load(std::memory_order_relaxed);
    std::int64_t full_at = full_at_.load(std::memory_order_relaxed);
    while (true) {
        const std::int64_t next = std::max(full_at, time) + interval;
        if (next - time >
            std::max(burst_.load(std::memory_order_relaxed), interval)) {
            return false;
        }
        if (full_at_.compare_exchange_weak(full_at, next,
                                           std::memory_order_relaxed)) {
            return true;
        }
    }
}

void token_bucket::reserve(steady_time now) {
    const std::int64_t time =
        std::chrono::nanoseconds(now.time_since_epoch()).count();
    const std::int64_t interval = interval_.load(std::memory_order_relaxed);
    std::int64_t full_at = full_at_.load(std::memory_order_relaxed);
    while (!full_at_.compare_exchange_weak(full_at,
                                           std::max(full_at, time) + interval,
                                           std::memory_order_relaxed)) {
    }
}

steady_time token_bucket::next_time(steady_time now) const {
    const std::int64_t interval = interval_.load(std::memory_order_relaxed);
    const std::int64_t size =
        std::max(burst_.load(std::memory_order_relaxed), interval);
    const std::int64_t available_at =
        full_at_.load(std::memory_order_relaxed) + interval - size;
    return std::max(now, steady_time(std::chrono::nanoseconds(available_at)));
}

void token_bucket::set_rate(double requests_per_second,
                            std::chrono::nanoseconds burst, steady_time now) {
    burst_.store(burst.count(), std::memory_order_relaxed);
    set_rate(requests_per_second, now);
}

void token_bucket::set_rate(double requests_per_second, steady_time now) {
    const std::int64_t next = interval_of(requests_per_second);
    const std::int64_t last = interval_.exchange(next);
    const std::int64_t time =
        std::chrono::nanoseconds(now.time_since_epoch()).count();
    std::int64_t full_at = full_at_.load(std::memory_order_relaxed);
    std::int64_t scaled = 0;
    do {
        if (full_at <= time) {
            return;
        }
        // Keep the number of tokens that are missing from the bucket, and
        // scale the time to refill them to the new rate.
        const double tokens_owed =
            static_cast<double>(full_at - time) / static_cast<double>(last);
        scaled = time + static_cast<std::int64_t>(tokens_owed *
                                                  static_cast<double>(next));
    } while (!full_at_.compare_exchange_weak(full_at, scaled,
                                             std::memory_order_relaxed));
}

std::uint64_t token_bucket::take_attempts() {
    return attempts_.exchange(0, std::memory_order_relaxed);
}

} // namespace savorydock
