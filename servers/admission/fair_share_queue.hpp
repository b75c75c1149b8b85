#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace savorydock {

/// A waiting request.
struct waiting_request {
    std::uint64_t ticket = 0;
    caller_id caller;
    steady_time arrival{};
    steady_time deadline{};
    /// Cost that is charged to its caller's share, in tokens or requests.
    std::uint32_t cost = 1;
};

/// A queue that serves callers in proportion to their weights (stride
/// scheduling). The share of a caller with no waiting requests goes to the
/// others, and the caller doesn't accumulate credit for it. Not thread safe.
class fair_share_queue {
public:
    /// Sets a caller's weight. Other callers have weight 1.
    /// Precondition: weight > 0.
    void set_weight(const caller_id& caller, std::uint32_t weight);

    /// Precondition: `request.cost` > 0.
    void push(waiting_request request);

    /// Removes and returns the next request, if there is one.
    std::optional<waiting_request> pop();

    /// Removes a request; returns false if it isn't waiting here.
    bool remove(std::uint64_t ticket);

    /// Removes every request whose deadline is not later than `limit` and
    /// returns their tickets.
    std::vector<std::uint64_t> remove_expired(steady_time limit);

    [[nodiscard]] std::size_t size() const { return size_; }

    /// When the oldest waiting request arrived, if any is waiting.
    [[nodiscard]] std::optional<steady_time> oldest_arrival() const;

private:
    struct caller_queue {
        std::uint32_t weight = 1;
        /// The virtual time at which its next request is due. Each request
        /// advances it by cost / weight.
        double pass = 0;
        std::deque<waiting_request> waiting;
    };

    std::map<caller_id, caller_queue> queues_;
    /// The `pass` of the request that was removed last.
    double virtual_time_ = 0;
    std::size_t size_ = 0;
};

} // namespace savorydock
