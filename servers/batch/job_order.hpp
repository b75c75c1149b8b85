#pragma once

#include "core/clock.hpp"
#include "servers/batch/batch_job.hpp"
#include "servers/batch/job_demand.hpp"
#include "servers/batch/job_round.hpp"
#include "servers/batch/organisation_shares.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace savorydock {

struct job_order_options {
    organisation_share_options shares;
    /// A job gets its place back, and sharing ends, only if the work takes at
    /// most this share of the time left. The measured speed of an engine varies
    /// by a few percent with its load; the order must not follow that.
    double return_share = 0.8;
    /// How often jobs are judged anew, besides when a job is added.
    std::chrono::milliseconds refresh_period{200};
};

/// A change of the order, for the log and for the ranks of the job's items.
struct order_change {
    /// The job whose standing changed; empty if the sharing did.
    job_id job;
    job_standing standing = job_standing::in_time;
    std::uint32_t priority = 0;
    /// Organisations share the engines for jobs of the priority.
    bool is_shared = false;
};

/// Returns the change as a detail of a log line. Thread safe.
[[nodiscard]] std::string to_text(const order_change& change);

/// Decides in which order the open jobs of a service get engines.
///
/// Jobs are ordered by priority, then by due time. Only if the configuration
/// has organisations:
/// - Load pattern: one large and several small organisations, or equal ones,
///   submit more than the engines can do in time. If a job of a priority would
///   be late in the order of due times, its organisations share the engines:
///   the one that has received the least work comes first.
/// - Load pattern: in an overload the job that is due first can't be complete
///   in time any more, but delays those that still can. It yields to those of
///   its priority. So does a job whose trainer has its share of groups.
/// - Load pattern: demand that flaps at the edge of what the engines can do.
///   What was decided is taken back only with a margin.
///
/// Not thread safe; deterministic.
class job_order {
public:
    explicit job_order(job_order_options options)
        : options_(options)
        , shares_(options.shares) {}

    /// Whether `refresh` should be called before the next round.
    [[nodiscard]] bool needs_refresh(const std::vector<open_job>& jobs,
                                     steady_time now) const;

    /// Judges all jobs anew and returns what changed. `demands` has one entry
    /// per job.
    std::vector<order_change> refresh(const std::vector<open_job>& jobs,
                                      const std::vector<job_demand>& demands,
                                      const service_speed& speed,
                                      steady_time now);

    /// Drops the standing of a job, which is added anew.
    void forget(const job_id& job) { standings_.erase(job); }

    /// Begins to place items. `jobs` and this object must outlive the round.
    [[nodiscard]] job_round begin_round(const std::vector<open_job>& jobs);

private:
    using level = std::pair<std::uint32_t, bool>;

    [[nodiscard]] job_standing standing_of(const job_id& job) const;
    [[nodiscard]] job_standing judge(const open_job& job,
                                     const job_demand& demand,
                                     const service_speed& speed,
                                     steady_time now) const;
    [[nodiscard]] std::set<level>
    find_contested(const std::vector<open_job>& jobs,
                   const std::vector<job_demand>& demands,
                   const service_speed& speed, steady_time now) const;

    job_order_options options_;
    organisation_shares shares_;
    std::map<job_id, job_standing> standings_;
    std::set<level> contested_;
    steady_time refreshed_at_{};
};

} // namespace savorydock
