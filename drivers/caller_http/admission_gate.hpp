#pragma once

#include "core/outcome.hpp"
#include "drivers/caller_http/caller_request.hpp"
#include "servers/admission/synchronized_admission_queue.hpp"
#include "servers/routing/upstream_router.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace savorydock {

/// Permission for one request to run; the destructor returns it to the queue.
/// Movable; not thread safe.
class admission_pass {
public:
    admission_pass() = default;
    explicit admission_pass(std::function<void()> release)
        : release_(std::move(release)) {}
    ~admission_pass();
    admission_pass(admission_pass&& other) noexcept;
    admission_pass& operator=(admission_pass&& other) noexcept;
    admission_pass(const admission_pass&) = delete;
    admission_pass& operator=(const admission_pass&) = delete;

private:
    std::function<void()> release_;
};

/// Queues the requests of each service until the admission queue grants them.
/// Thread safe.
class admission_gate {
public:
    explicit admission_gate(const upstream_router& router)
        : router_(router) {}

    /// Waits until the request may run. Errors: `not_run_overloaded`,
    /// `not_run_deadline`. Must run on the thread of `context`.
    boost::asio::awaitable<outcome<admission_pass>>
    enter(const caller_request& request, std::uint32_t cost,
          boost::asio::io_context& context);

    /// Updates the capacities from the current load and wakes requests that
    /// were granted or have expired. Call it several times per second.
    void on_tick(steady_time now);

private:
    struct waiter;
    /// The admission queue of one service; a new revision of the service gets
    /// a new one.
    struct service_gate {
        service_gate(store_revision used_revision, admission_queue queue)
            : revision(used_revision)
            , admission(std::move(queue)) {}

        const store_revision revision;
        synchronized_admission_queue admission;
        std::mutex mutex;
        std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> waiters;
    };

    std::shared_ptr<service_gate> gate_of(const service_in_force& service);
    static void wake(service_gate& gate, const admission_change& change);
    static void wake_one(service_gate& gate, std::uint64_t ticket,
                         bool is_granted);

    const upstream_router& router_;
    std::atomic<std::uint64_t> next_ticket_{1};
    std::mutex mutex_;
    std::map<service_name, std::shared_ptr<service_gate>> gates_;
};

} // namespace savorydock
