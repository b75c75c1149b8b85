#pragma once

#include "core/ids.hpp"

#include <boost/describe/class.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace savorydock {

/// Work of one service that should be complete at the same time.
struct due_work {
    /// Time left when the message was made; negative if it is late.
    std::chrono::milliseconds due_in{0};
    /// Tokens that are still to be generated, as estimated.
    std::uint64_t tokens = 0;
    std::uint64_t waiting_items = 0;
    std::uint64_t running_items = 0;
};
BOOST_DESCRIBE_STRUCT(due_work, (),
                      (due_in, tokens, waiting_items, running_items))

/// The open work of one service, as its planner knows it, or requests of
/// callers, as any instance knows its own.
struct worker_demand {
    service_name service;
    /// The planner's term; older planners are ignored. 0: this message tells
    /// only of `open_requests`.
    store_revision term = 0;
    /// Sorted by due time.
    std::vector<due_work> work;
    /// Tokens that one slot generates in a second; 0 if not measured.
    double slot_rate = 0;
    /// Requests of callers that the sender is serving; 0 from planners.
    std::uint64_t open_requests = 0;
};
BOOST_DESCRIBE_STRUCT(worker_demand, (),
                      (service, term, work, slot_rate, open_requests))

} // namespace savorydock
