#pragma once

#include "core/call_trace.hpp"

#include <array>
#include <chrono>
#include <cstdint>

namespace savorydock {

struct attempt_counts_options {
    /// Failed attempts that are logged in each period. The others are counted.
    std::uint32_t max_lines = 40;
    std::chrono::milliseconds period{1'000};
};

/// Counts the attempts that this instance made at upstreams, and decides which
/// of the failed ones are logged.
///
/// Load pattern: while an instance reaches no upstream and its connections are
/// refused, hundreds of attempts fail each second. The first of each period
/// show the pattern; the log stays bounded.
///
/// Not thread safe; deterministic.
class attempt_counts {
public:
    attempt_counts() = default;
    explicit attempt_counts(attempt_counts_options options)
        : options_(options) {}

    /// Counts an attempt that an upstream answered. `is_kept`: whether its
    /// connection was open before.
    void on_answered(bool is_kept) {
        ++(is_kept ? on_kept_ : on_new_).answered;
    }

    /// Counts an attempt that failed. Returns whether it should be logged.
    [[nodiscard]] bool on_failed(call_stage stage, bool is_kept,
                                 steady_time now);

    /// Returns how many failed attempts weren't logged since the last call.
    [[nodiscard]] std::uint64_t take_unlogged();

    [[nodiscard]] std::uint64_t answered(bool is_kept) const {
        return (is_kept ? on_kept_ : on_new_).answered;
    }
    [[nodiscard]] std::uint64_t failed(call_stage stage, bool is_kept) const {
        return (is_kept ? on_kept_ : on_new_)
            .failed.at(static_cast<std::size_t>(stage));
    }

private:
    struct counts {
        std::uint64_t answered = 0;
        std::array<std::uint64_t, 4> failed{};
    };

    attempt_counts_options options_;
    counts on_new_;
    counts on_kept_;
    steady_time period_began_{};
    std::uint32_t lines_ = 0;
    std::uint64_t unlogged_ = 0;
};

} // namespace savorydock
