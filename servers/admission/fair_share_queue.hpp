#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace savorydock {

/// A request that waits.
struct waiting_request {
    std::uint64_t ticket = 0;
    caller_id caller;
    steady_time arrival{};
    steady_time deadline{};
    /// What it takes of its caller's share, in tokens or requests.
    std::uint32_t cost = 1;
};

/// A queue that shares its exit among callers by weight (stride scheduling):
/// a caller that has nothing waiting neither loses nor saves up anything, and
/// the others use its share. Not thread safe.
class fair_share_queue {
public:
    /// Sets a caller's share; callers that are not declared have weight 1.
    /// Precondition: weight > 0.
    void declare(const caller_id& caller, std::uint32_t weight);

    /// Precondition: `request.cost` > 0.
    void push(waiting_request request);

    /// Takes the next request, if there is any.
    std::optional<waiting_request> pop();

    /// Takes a request out of its turn; false if it does not wait here.
    bool remove(std::uint64_t ticket);

    /// Takes out every request whose deadline is no later than `limit`.
    std::vector<std::uint64_t> remove_expired(steady_time limit);

    [[nodiscard]] std::size_t size() const { return size_; }

    /// When the longest waiting request came, if any waits.
    [[nodiscard]] std::optional<steady_time> oldest_arrival() const;

private:
    struct caller_line {
        std::uint32_t weight = 1;
        /// The virtual time at which its next request leaves.
        double pass = 0;
        std::deque<waiting_request> waiting;
    };

    std::map<caller_id, caller_line> lines_;
    double virtual_time_ = 0;
    std::size_t size_ = 0;
};

} // namespace savorydock
