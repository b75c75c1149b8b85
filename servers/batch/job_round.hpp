#pragma once

#include "core/clock.hpp"
#include "servers/batch/batch_job.hpp"
#include "servers/batch/organisation_shares.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace savorydock {

/// What the order of an open job depends on.
struct open_job {
    const job_record* record = nullptr;
    /// 0 is the highest.
    std::uint32_t priority = 5;
    /// When the trainer needs its groups.
    steady_time due;
    /// The configuration has organisations.
    bool has_organisations = false;
};

/// Whether a job can still be complete in time. All but the first yield.
enum class job_standing : std::uint8_t {
    in_time,
    /// The trainer has its share of groups; what is left is worth less.
    target_reached,
    /// The share of groups can't be complete by the due time.
    too_late,
};

/// The place of a job in a round.
struct job_place {
    /// Index of the job.
    std::size_t job = 0;
    std::uint32_t priority = 0;
    bool is_yielding = false;
    /// Organisations share the engines for jobs of this priority that yield as
    /// this one does.
    bool is_shared = false;
};

/// Returns the places of the jobs, in order: by priority, then those that don't
/// yield, then by due time, then in the order given. `standings` has one entry
/// per job. Thread safe.
[[nodiscard]] std::vector<job_place>
sort_jobs(const std::vector<open_job>& jobs,
          const std::vector<job_standing>& standings);

/// Hands out engines to jobs, one item at a time, until no job can place one.
///
/// Not thread safe; deterministic.
class job_round {
public:
    /// `jobs` and `shares` must outlive the round.
    job_round(const std::vector<open_job>& jobs, std::vector<job_place> places,
              organisation_shares& shares);

    /// Returns the index of the job that may place an item now, or nothing.
    /// Call `on_placed` or `on_exhausted` afterwards.
    [[nodiscard]] std::optional<std::size_t> next();
    /// The job placed an item with this number of estimated tokens.
    void on_placed(std::size_t job, std::uint64_t tokens);
    /// The job can't place another item in this round.
    void on_exhausted(std::size_t job) { is_exhausted_[job] = true; }

private:
    const std::vector<open_job>& jobs_;
    std::vector<job_place> places_;
    organisation_shares& shares_;
    std::vector<bool> is_exhausted_;
    /// The first place that isn't exhausted.
    std::size_t first_ = 0;
};

} // namespace savorydock
