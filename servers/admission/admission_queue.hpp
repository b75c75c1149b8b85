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
    /// Requests that may run at once; see `share_of_capacity`.
    std::uint32_t capacity = 64;
    /// Part of the capacity that batch work leaves free.
    double interactive_reserve = 0.15;
    /// Batch work that waited this long gets one grant in `aging_interval`,
    /// however much interactive work there is.
    std::chrono::milliseconds aging_limit{20'000};
    std::uint32_t aging_interval = 8;
};

/// A request that asks to run.
struct admission_request {
    /// The caller's own number; unique among requests not yet released.
    std::uint64_t ticket = 0;
    class_name class_of_service;
    caller_id caller;
    steady_time deadline{};
    /// What it takes of its caller's share. Precondition: > 0.
    std::uint32_t cost = 1;
};

enum class admission_verdict : std::uint8_t { granted, queued };

/// What a change of the queue's state brought about.
struct admission_change {
    /// Tickets that may run now.
    std::vector<std::uint64_t> granted;
    /// Tickets that can't be done by their deadline any more, since they
    /// waited too long: `not_run_deadline`.
    std::vector<std::uint64_t> expired;
};

/// Decides which request of a service runs next on this instance.
///
/// Interactive classes go first and a part of the capacity is kept for them;
/// callers of one class share by weight and use what others leave; batch work
/// that waited long gets a part anyway. A request that would miss its
/// deadline in the queue is refused at once. Deterministic, not thread safe;
/// `shared_admission` is.
class admission_queue {
public:
    admission_queue(admission_options options,
                    std::span<const class_rule> classes,
                    std::span<const caller_rule> callers);

    /// Runs, queues or refuses a request. Errors: `not_run_overloaded` when
    /// the queue is full or the deadline can't be met, `not_run_deadline`
    /// when it has passed, `not_run_bad_request` for an undeclared class.
    [[nodiscard]] outcome<admission_verdict>
    submit(const admission_request& request, steady_time now);

    /// Ends a request that was granted; unknown tickets are passed over.
    [[nodiscard]] admission_change release(std::uint64_t ticket,
                                           steady_time now);

    /// Ends the wait of a request; false if it does not wait.
    bool cancel(std::uint64_t ticket);

    /// Expires and grants what time alone allows. Call it several times a
    /// second.
    [[nodiscard]] admission_change on_tick(steady_time now);

    /// What runs goes on when the capacity falls.
    void set_capacity(std::uint32_t capacity) { options_.capacity = capacity; }

    [[nodiscard]] std::uint32_t running() const {
        return running_interactive_ + running_batch_;
    }
    [[nodiscard]] std::size_t waiting(const class_name& name) const;

private:
    struct class_line {
        class_rule rule;
        fair_share_queue queue;
        /// Moving average of how long a granted request runs.
        std::chrono::duration<double> mean_run{0};
    };
    struct running_request {
        std::size_t line = 0;
        steady_time since{};
    };

    [[nodiscard]] class_line* find_line(const class_name& name);
    [[nodiscard]] bool has_room(const class_line& line) const;
    [[nodiscard]] std::uint32_t batch_capacity() const;
    [[nodiscard]] std::chrono::duration<double>
    expected_wait(const class_line& line) const;
    [[nodiscard]] class_line* aged_line(steady_time now);
    [[nodiscard]] class_line* next_line(steady_time now);
    void grant(class_line& line, std::uint64_t ticket, steady_time now);
    /// The deadline below which a request of the line can't be done in time.
    [[nodiscard]] static steady_time last_start(const class_line& line,
                                                steady_time now);
    void expire_waiting(steady_time now, admission_change& change);
    void grant_waiting(steady_time now, admission_change& change);

    admission_options options_;
    /// Interactive classes first, then by priority.
    std::vector<class_line> lines_;
    std::unordered_map<std::uint64_t, running_request> running_;
    std::uint32_t running_interactive_ = 0;
    std::uint32_t running_batch_ = 0;
    std::uint32_t grants_since_batch_ = 0;
};

/// Returns the capacity for this instance's queue: what it runs plus a part
/// of what is free in the fleet. A part only, since other instances see the
/// same free slots; what is left is shared out at the next report.
[[nodiscard]] std::uint32_t share_of_capacity(const fleet_load& load);

} // namespace savorydock
