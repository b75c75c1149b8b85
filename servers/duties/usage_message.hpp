#pragma once

#include "core/ids.hpp"

#include <boost/describe/class.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace savorydock {

/// The number of a usage window: the time since the start of 1970 divided by
/// the length of a window.
using usage_window = std::uint64_t;

/// Number of requests that upstreams began to run, by organisation.
using run_counts = std::map<organisation_id, std::uint64_t>;

/// The counts of one window so far.
struct window_counts {
    usage_window window = 0;
    /// The window has ended for the instance that counted.
    bool is_final = false;
    run_counts counts;
};
BOOST_DESCRIBE_STRUCT(window_counts, (), (window, is_final, counts))

/// Counts of one process of an instance.
struct process_counts {
    instance_id instance;
    /// Distinguishes the processes that run as this instance after each other.
    std::uint64_t process = 0;
    /// The window in which the process started.
    usage_window first_window = 0;
    std::vector<window_counts> windows;
};
BOOST_DESCRIBE_STRUCT(process_counts, (),
                      (instance, process, first_window, windows))

/// Counts for the instance that reports them, from the instance that counted or
/// one that keeps a copy. They are cumulative, so that repeats and any order
/// give the same sums.
struct usage_counts {
    std::vector<process_counts> processes;
};
BOOST_DESCRIBE_STRUCT(usage_counts, (), (processes))

/// Tells an instance which of its counts the holder has.
struct usage_receipt {
    std::uint64_t process = 0;
    /// The holder's term; a holder of another term lacks the counts.
    store_revision term = 0;
    /// Windows whose final counts have arrived.
    std::vector<usage_window> windows;
    /// All windows before this one are recorded; 0 if unknown.
    usage_window recorded_before = 0;
};
BOOST_DESCRIBE_STRUCT(usage_receipt, (),
                      (process, term, windows, recorded_before))

} // namespace savorydock
