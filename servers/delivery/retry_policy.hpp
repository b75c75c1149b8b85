#pragma once

#include "core/clock.hpp"
#include "core/service_document.hpp"
#include "servers/delivery/upstream_failure_map.hpp"

#include <chrono>
#include <cstdint>
#include <mutex>

namespace savorydock {

/// Retries and hedges of one service as a fraction of its live traffic, so
/// that they fade out when everything fails. Thread safe.
class retry_budget {
public:
    /// `burst` retries may come at once after quiet traffic.
    explicit retry_budget(double fraction, double burst = 10);

    /// Counts a first run.
    void earn();
    /// Takes one retry or hedge; false if the budget is used up.
    [[nodiscard]] bool try_spend();

private:
    std::mutex lock_;
    double fraction_;
    double burst_;
    double left_;
};

struct retry_options {
    bool is_idempotent = false;
    std::uint32_t max_attempts = 3;
    steady_time deadline{};
    /// A retry that has less time than this left is not begun.
    std::chrono::milliseconds least_time{5};
};

/// Whether to run again, and if not, what the caller learns.
struct retry_decision {
    bool is_retry = false;
    result_code code = result_code::ok;
};

/// The runs of one request on this instance. It remembers that a run may have
/// begun: a later refusal never turns that into "not run". Not thread safe.
class request_retries {
public:
    explicit request_retries(const retry_options& options)
        : options_(options) {}

    /// Some of the answer went to the caller: it can only be resumed.
    void pass_on() { has_passed_on_ = true; }

    /// Decides after a run that did not bring the answer.
    [[nodiscard]] retry_decision decide(const upstream_ruling& ruling,
                                        retry_budget& budget, steady_time now);

    /// The code for a request that ends without a further run for `reason`, a
    /// code of class `not_run`; kept honest against earlier runs.
    [[nodiscard]] result_code give_up(result_code reason) const;

    [[nodiscard]] bool may_have_begun() const { return may_have_begun_; }
    [[nodiscard]] std::uint32_t attempts() const { return attempts_; }

private:
    [[nodiscard]] bool is_repeat_safe(const upstream_ruling& ruling) const;

    retry_options options_;
    std::uint32_t attempts_ = 0;
    bool may_have_begun_ = false;
    bool has_passed_on_ = false;
};

} // namespace savorydock
