#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace savorydock::bench {

/// Runs actions in the order of their virtual times; equal times in the order
/// of entry, so that a run repeats exactly. Not thread safe.
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

    /// Calls `act` every `period` from now on.
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

    /// Time zero means "never" elsewhere, so virtual time begins later.
    steady_time now_{std::chrono::hours(1)};
    std::uint64_t sequence_ = 0;
    std::priority_queue<event> events_;
};

} // namespace savorydock::bench
