#pragma once

#include "servers/batch/batch_job.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace savorydock {

/// How fast the engines of a service generate tokens.
struct service_speed {
    /// By all slots together, as measured lately; 0 if not measured.
    double tokens_per_second = 0;
    /// By a slot of the fastest engine; 0 if not measured.
    double slot_tokens_per_second = 0;
};

/// The work that is left of a job, in estimated tokens.
struct job_demand {
    /// Of all unfinished texts.
    std::uint64_t open_tokens = 0;
    /// Of the cheapest groups that complete the trainer's share of groups; 0 if
    /// the texts of that share are complete.
    std::uint64_t needed_tokens = 0;
    /// Of the longest text among the needed ones.
    std::uint64_t longest_needed_tokens = 0;
};

/// Returns the number of tokens that the item's text is expected to lack, at
/// least 1. An item without its caller's estimate counts as 1, because its
/// maximum says little about its length. Thread safe.
[[nodiscard]] std::uint64_t
estimated_tokens_left(const batch_item& item, std::uint64_t generated_tokens);

/// Returns what is left of a job. `tokens_left` has one entry per item; 0 means
/// that the item needs no engine any more. Items that were given up count as
/// finished. Thread safe.
[[nodiscard]] job_demand
demand_of(const batch_job& job, const std::vector<std::uint64_t>& tokens_left);

/// Returns the least time that the needed groups take, if the engines first
/// generate `tokens_ahead` for other jobs. Prompts, scorings and the load of
/// other jobs come on top. Precondition: the speed is measured. Thread safe.
[[nodiscard]] std::chrono::duration<double>
least_time(const job_demand& demand, double tokens_ahead,
           const service_speed& speed);

} // namespace savorydock
