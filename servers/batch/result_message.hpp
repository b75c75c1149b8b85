#pragma once

#include "servers/batch/batch_job.hpp"

#include <boost/describe/class.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace savorydock {

/// Asks the planner of a job for results that it has listed.
struct result_request {
    /// Identifies the request among those of the sender, to match the reply.
    std::uint64_t number = 0;
    job_id job;
    /// Position of the first result wanted.
    std::uint64_t first = 0;
    /// How long to wait if there is no result at `first` yet.
    std::chrono::milliseconds wait{0};
};
BOOST_DESCRIBE_STRUCT(result_request, (), (number, job, first, wait))

/// The reply to a `result_request`.
struct result_reply {
    std::uint64_t number = 0;
    /// False if the receiver can't tell which results are listed, because it
    /// isn't the job's planner or a write of its own has no outcome yet. The
    /// store must be read instead.
    bool is_known = false;
    /// Position of the first row.
    std::uint64_t first = 0;
    std::vector<std::string> rows;
    /// The job of the request; empty if the sender is an older instance.
    job_id job;
};
BOOST_DESCRIBE_STRUCT(result_reply, (), (number, is_known, first, rows, job))

} // namespace savorydock
