#pragma once

#include "core/clock.hpp"
#include "core/service_document.hpp"
#include "servers/delivery/upstream_failure_map.hpp"

#include <chrono>
#include <cstdint>
#include <mutex>

namespace savorydock {

/// Limits the retries and hedges of one service to a fraction of its first
/// runs, so that retries do not multiply the load when most runs fail. Thread
/// safe.
class retry_budget {
public:
    /// Up to `burst` retries are allowed at once if the budget is full.
    explicit retry_budget(double fraction, double burst = 10);

    /// Adds the budget that one first run provides.
    void earn();
    /// Consumes one retry or hedge. Returns false if the budget is exhausted.
    [[nodiscard]] bool try_spend();

private:
    std::mutex lock_;
    double fraction_;
    double burst_;
    double remaining_;
};

struct retry_options {
    bool is_idempotent = false;
    std::uint32_t max_attempts = 3;
    steady_time deadline{};
    /// No retry starts with less than this time left until the deadline.
    std::chrono::milliseconds min_remaining_time{5};
};

/// Whether to retry, and the code for the caller if not.
struct retry_decision {
    bool is_retry = false;
    result_code code = result_code::ok;
};

/// Tracks the runs of one request on this instance. Once an upstream may have
/// begun a run, a later refusal does not change the result to "not run". Not
/// thread safe.
class request_retries {
public:
    explicit request_retries(const retry_options& options)
        : options_(options) {}

    /// Call when part of the answer was sent to the caller: the request can
    /// then be resumed but not retried.
    void note_partial_delivery() { has_delivered_part_ = true; }

    /// Decides whether to retry after a run without a usable answer.
    [[nodiscard]] retry_decision
    decide(const run_classification& classification, retry_budget& budget,
           steady_time now);

    /// The code for a request that ends for `reason` without another run. A
    /// `reason` of class `not_run` becomes "unknown" if an earlier run may have
    /// begun.
    [[nodiscard]] result_code final_code(result_code reason) const;

    [[nodiscard]] bool may_have_begun() const { return may_have_begun_; }
    [[nodiscard]] std::uint32_t attempts() const { return attempts_; }

private:
    [[nodiscard]] bool
    is_retry_safe(const run_classification& classification) const;

    retry_options options_;
    std::uint32_t attempts_ = 0;
    bool may_have_begun_ = false;
    bool has_delivered_part_ = false;
};

} // namespace savorydock
