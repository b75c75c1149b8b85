#pragma once

#include "core/clock.hpp"
#include "servers/batch/planner_command.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace savorydock {

/// Complete texts and scores that may not be listed yet, for the planner of a
/// later term.
///
/// Load pattern: hundreds of texts end in the seconds in which a service has no
/// planner. The oldest results are dropped first when there are too many.
///
/// Not thread safe; deterministic.
class kept_results {
public:
    /// Keeps the result of a run or scoring of the service.
    void keep(const service_name& service, held_run result, steady_time now);

    /// The result is listed. Does nothing if it isn't kept.
    void release(run_ticket ticket);

    /// Drops results that nobody has asked for in time, and those of ended
    /// jobs.
    void drop_old(steady_time now,
                  const std::function<bool(const job_id& job)>& is_ended);

    /// Appends copies of the service's results.
    void append_to(std::vector<held_run>& held,
                   const service_name& service) const;

private:
    struct kept_result {
        service_name service;
        steady_time ended_at;
        held_run result;
    };

    std::map<run_ticket, kept_result> results_;
    /// Size of the texts and scores.
    std::size_t bytes_ = 0;
};

} // namespace savorydock
