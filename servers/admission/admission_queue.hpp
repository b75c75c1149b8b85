#pragma once

#include "core/outcome.hpp"
#include "core/service_document.hpp"
#include "servers/admission/fair_share_queue.hpp"
#include "servers/routing/fleet_load.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace savorydock {

struct admission_options {
    /// Maximum number of running requests; see `share_of_capacity`.
    std::uint32_t capacity = 64;
    /// Fraction of the capacity that batch requests may not use.
    double interactive_reserve = 0.15;
    /// A batch request that has waited this long is granted after
    /// `aging_interval` interactive grants in a row, whatever the interactive
    /// load.
    std::chrono::milliseconds aging_limit{20'000};
    std::uint32_t aging_interval = 8;
};

/// A request to run on this instance.
struct admission_request {
    /// Number assigned by the user of the queue; unique among the requests that
    /// wait or run.
    std::uint64_t ticket = 0;
    class_name class_of_service;
    caller_id caller;
    steady_time deadline{};
    /// Cost that is charged to its caller's share. Precondition: > 0.
    std::uint32_t cost = 1;
};

enum class admission_verdict : std::uint8_t { granted, queued };

/// The requests whose state changed in a call.
struct admission_change {
    /// Tickets that may run now.
    std::vector<std::uint64_t> granted;
    /// Tickets that were removed because they can no longer finish by their
    /// deadline. Their result is `not_run_deadline`.
    std::vector<std::uint64_t> expired;
};

/// Decides which request of a service runs next on this instance.
///
/// Interactive classes go first, and a part of the capacity is reserved for
/// them. The callers of a class share it by weight; callers with waiting
/// requests use the shares of idle ones. Batch requests that have waited long
/// get some grants even under interactive load. A request that would miss its
/// deadline in the queue is refused at once. Deterministic. Not thread safe;
/// see `synchronized_admission_queue`.
class admission_queue {
public:
    admission_queue(admission_options options,
                    std::span<const class_rule> classes,
                    std::span<const caller_rule> callers);

    /// Grants, queues or refuses a request. Errors: `not_run_overloaded` when
    /// the queue is full or the deadline can't be met, `not_run_deadline`
    /// when it has passed, `not_run_bad_request` for an undeclared class.
    [[nodiscard]] outcome<admission_verdict>
    submit(const admission_request& request, steady_time now);

    /// Ends a granted request and grants waiting ones. An unknown ticket is
    /// not an error.
    [[nodiscard]] admission_change release(std::uint64_t ticket,
                                           steady_time now);

    /// Removes a waiting request; returns false if it isn't waiting.
    bool cancel(std::uint64_t ticket);

    /// Expires requests and grants waiting ones, as time and capacity allow.
    /// Must be called several times a second.
    [[nodiscard]] admission_change on_tick(steady_time now);

    /// Sets the capacity. Running requests continue if it is reduced.
    void set_capacity(std::uint32_t capacity) { options_.capacity = capacity; }

    [[nodiscard]] std::uint32_t running() const {
        return running_interactive_ + running_batch_;
    }
    [[nodiscard]] std::size_t waiting(const class_name& name) const;

private:
    struct class_queue {
        class_rule rule;
        fair_share_queue requests;
        /// Moving average of how long a granted request runs.
        std::chrono::duration<double> mean_run_time{0};
    };
    struct running_request {
        std::size_t queue_index = 0;
        steady_time since{};
    };

    [[nodiscard]] class_queue* find_queue(const class_name& name);
    [[nodiscard]] bool has_capacity(const class_queue& queue) const;
    [[nodiscard]] std::uint32_t batch_capacity() const;
    [[nodiscard]] std::chrono::duration<double>
    expected_wait(const class_queue& queue) const;
    /// The batch class whose oldest request has waited longest, and for at
    /// least `aging_limit`; null if there is none.
    [[nodiscard]] class_queue* aged_queue(steady_time now);
    [[nodiscard]] class_queue* next_queue(steady_time now);
    void grant(class_queue& queue, std::uint64_t ticket, steady_time now);
    /// A request of the queue with this deadline or an earlier one can't finish
    /// in time, given the mean run time of its class. It is not run, because
    /// its result would come too late.
    [[nodiscard]] static steady_time
    latest_unmeetable_deadline(const class_queue& queue, steady_time now);
    void expire_waiting(steady_time now, admission_change& change);
    void grant_waiting(steady_time now, admission_change& change);

    admission_options options_;
    /// Interactive classes first, then by priority.
    std::vector<class_queue> queues_;
    std::unordered_map<std::uint64_t, running_request> running_;
    std::uint32_t running_interactive_ = 0;
    std::uint32_t running_batch_ = 0;
    /// Interactive grants since the last batch grant.
    std::uint32_t grants_since_batch_ = 0;
};

/// Returns the capacity for this instance's queue: its requests in flight plus
/// half of the free slots of the fleet, and at least 1. It claims only half
/// because other instances see the same free slots; the next load report shows
/// what is left.
[[nodiscard]] std::uint32_t share_of_capacity(const fleet_load& load);

} // namespace savorydock
