#pragma once

#include "servers/admission/admission_queue.hpp"

#include <mutex>
#include <utility>

namespace savorydock {

/// An `admission_queue` protected by a mutex, for traffic threads. Every method
/// is thread safe and holds the lock for the decision only, never during I/O.
/// The caller of a method must notify the owners of the tickets that it
/// returns.
class synchronized_admission_queue {
public:
    explicit synchronized_admission_queue(admission_queue queue)
        : queue_(std::move(queue)) {}

    /// See `admission_queue::submit`.
    [[nodiscard]] outcome<admission_verdict>
    submit(const admission_request& request, steady_time now) {
        const std::lock_guard lock(mutex_);
        return queue_.submit(request, now);
    }

    /// See `admission_queue::release`.
    [[nodiscard]] admission_change release(std::uint64_t ticket,
                                           steady_time now) {
        const std::lock_guard lock(mutex_);
        return queue_.release(ticket, now);
    }

    /// See `admission_queue::cancel`.
    bool cancel(std::uint64_t ticket) {
        const std::lock_guard lock(mutex_);
        return queue_.cancel(ticket);
    }

    /// Sets the capacity, then calls `admission_queue::on_tick`.
    [[nodiscard]] admission_change on_tick(std::uint32_t capacity,
                                           steady_time now) {
        const std::lock_guard lock(mutex_);
        queue_.set_capacity(capacity);
        return queue_.on_tick(now);
    }

private:
    std::mutex mutex_;
    admission_queue queue_;
};

} // namespace savorydock
