#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace savorydock::bench {

/// Runs actions in order of virtual time. Actions due at the same time run in
/// the order they were added, so runs are reproducible. Not thread safe.
class event_loop {
public:
    using action = std::function<void()>;

    [[nodiscard]] steady_time now() const { return now_; }

    void after(std::chrono::duration<double> delay, action act) {
        const auto step =
            std::chrono::duration_cast<steady_time::duration>(delay);
        events_.push({now_ + std::max(step, steady_time::duration::zero()),
                      ++sequence_, std::move(act)});
    }

    /// Calls `act` every `period`, for the first time after one period.
    void every(std::chrono::duration<double> period, action act) {
        after(period, [this, period, act = std::move(act)] {
            act();
            every(period, act);
        });
    }

    void run_until(steady_time end) {
        while (!events_.empty() && events_.top().time <= end) {
            event next = events_.top();
            events_.pop();
            now_ = next.time;
            next.act();
        }
    }

private:
    struct event {
        steady_time time;
        std::uint64_t sequence;
        action act;

        bool operator<(const event& other) const {
            return std::pair(time, sequence) >
                   std::pair(other.time, other.sequence);
        }
    };

    /// Starts above zero because the tested code uses time zero for "never".
    steady_time now_{std::chrono::hours(1)};
    std::uint64_t sequence_ = 0;
    std::priority_queue<event> events_;
};

} // namespace savorydock::bench
