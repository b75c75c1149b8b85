#include "servers/routing/upstream_counters.hpp"

namespace savorydock {

namespace {

/// The newest observation has a weight of 1/8 in a moving average.
constexpr std::int64_t smoothing_divisor = 8;

/// How long an upstream's report that it is leaving is kept. The control thread
/// learns of it within this many publications.
constexpr std::uint32_t leaving_hold_publications = 3;

bool is_answer(upstream_evidence evidence) {
    return evidence == upstream_evidence::answered ||
           evidence == upstream_evidence::answered_slowly;
}

/// An upstream that declines work (leaving or overloaded) is not faulty and
/// doesn't count as failed.
bool is_failure(upstream_evidence evidence) {
    return evidence == upstream_evidence::refused_connection ||
           evidence == upstream_evidence::connection_lost ||
           evidence == upstream_evidence::timed_out;
}

} // namespace

void upstream_counters::begin() {
    in_flight_.fetch_add(1, std::memory_order_relaxed);
}

void upstream_counters::finish(upstream_evidence evidence,
                               std::chrono::microseconds latency) {
    std::uint32_t current = in_flight_.load(std::memory_order_relaxed);
    while (current > 0 &&
           !in_flight_.compare_exchange_weak(current, current - 1,
                                             std::memory_order_relaxed)) {
    }
    if (evidence == upstream_evidence::reported_leaving) {
        leaving_publications_.store(leaving_hold_publications,
                                    std::memory_order_relaxed);
    }
    // The averages are updated by a separate load and store, so concurrent
    // calls may lose an update. That is accurate enough for an average.
    if (is_failure(evidence)) {
        failure_streak_.fetch_add(1, std::memory_order_relaxed);
        const double rate = failure_rate_.load(std::memory_order_relaxed);
        failure_rate_.store(rate + (1 - rate) / smoothing_divisor,
                            std::memory_order_relaxed);
    }
    if (!is_answer(evidence)) {
        return;
    }
    failure_streak_.store(0, std::memory_order_relaxed);
    const double rate = failure_rate_.load(std::memory_order_relaxed);
    failure_rate_.store(rate - rate / smoothing_divisor,
                        std::memory_order_relaxed);
    const std::int64_t old =
        latency_microseconds_.load(std::memory_order_relaxed);
    const std::int64_t observed = latency.count();
    if (observed == 0) {
        return;
    }
    latency_microseconds_.store(
        old == 0 ? observed : old + (observed - old) / smoothing_divisor,
        std::memory_order_relaxed);
}

std::uint32_t upstream_counters::in_flight() const {
    return in_flight_.load(std::memory_order_relaxed);
}

std::chrono::microseconds upstream_counters::latency() const {
    return std::chrono::microseconds(
        latency_microseconds_.load(std::memory_order_relaxed));
}

double upstream_counters::failure_rate() const {
    return failure_rate_.load(std::memory_order_relaxed);
}

std::uint32_t upstream_counters::failure_streak() const {
    return failure_streak_.load(std::memory_order_relaxed);
}

bool upstream_counters::has_reported_leaving() const {
    return leaving_publications_.load(std::memory_order_relaxed) > 0;
}

void upstream_counters::on_publication() {
    std::uint32_t remaining =
        leaving_publications_.load(std::memory_order_relaxed);
    while (remaining > 0 &&
           !leaving_publications_.compare_exchange_weak(
               remaining, remaining - 1, std::memory_order_relaxed)) {
    }
}

} // namespace savorydock
