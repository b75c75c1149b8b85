#include "drivers/caller_http/admission_gate.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace savorydock {

namespace asio = boost::asio;

admission_pass::~admission_pass() {
    if (release_) {
        release_();
    }
}

admission_pass::admission_pass(admission_pass&& other) noexcept
    : release_(std::exchange(other.release_, nullptr)) {}

admission_pass& admission_pass::operator=(admission_pass&& other) noexcept {
    if (this != &other) {
        if (release_) {
            release_();
        }
        release_ = std::exchange(other.release_, nullptr);
    }
    return *this;
}

/// A queued request. Its state is accessed only on the thread of the request's
/// I/O context.
struct admission_gate::waiter {
    explicit waiter(asio::io_context& context)
        : timer(context) {}

    asio::steady_timer timer;
    bool is_over = false;
    bool is_granted = false;
};

std::shared_ptr<admission_gate::service_gate>
admission_gate::gate_of(const service_in_force& service) {
    const std::lock_guard lock(mutex_);
    auto& gate = gates_[service.document->service];
    if (!gate || gate->revision != service.revision) {
        gate = std::make_shared<service_gate>(
            service.revision,
            admission_queue({.capacity = share_of_capacity(
                                 router_.load(service.document->service))},
                            service.document->classes,
                            service.document->callers));
    }
    return gate;
}

asio::awaitable<outcome<admission_pass>>
admission_gate::enter(const caller_request& request, std::uint32_t cost,
                      asio::io_context& context) {
    const auto gate = gate_of(*request.service);
    const std::uint64_t ticket = next_ticket_++;
    const auto waiting = std::make_shared<waiter>(context);
    {
        const std::lock_guard lock(gate->mutex);
        gate->waiters.emplace(ticket, waiting);
    }
    const auto verdict = gate->admission.submit(
        {
            .ticket = ticket,
            .class_of_service = request.service_class->name,
            .caller = request.caller->name,
            .deadline = request.deadline,
            .cost = cost,
        },
        std::chrono::steady_clock::now());
    const bool is_queued = verdict && *verdict == admission_verdict::queued;
    if (is_queued && !waiting->is_over) {
        waiting->timer.expires_at(request.deadline);
        co_await waiting->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    {
        const std::lock_guard lock(gate->mutex);
        gate->waiters.erase(ticket);
    }
    if (!verdict) {
        co_return verdict.reason();
    }
    const bool is_cancelled =
        is_queued && !waiting->is_granted && gate->admission.cancel(ticket);
    if (is_queued && !waiting->is_granted &&
        (is_cancelled || waiting->is_over)) {
        co_return failure{result_code::not_run_deadline,
                          "the deadline came while the request waited"};
    }
    co_return admission_pass([gate, ticket] {
        wake(*gate,
             gate->admission.release(ticket, std::chrono::steady_clock::now()));
    });
}

void admission_gate::wake(service_gate& gate, const admission_change& change) {
    for (const std::uint64_t ticket : change.granted) {
        wake_one(gate, ticket, true);
    }
    for (const std::uint64_t ticket : change.expired) {
        wake_one(gate, ticket, false);
    }
}

void admission_gate::wake_one(service_gate& gate, std::uint64_t ticket,
                              bool is_granted) {
    std::shared_ptr<waiter> waiting;
    {
        const std::lock_guard lock(gate.mutex);
        const auto found = gate.waiters.find(ticket);
        if (found == gate.waiters.end()) {
            return;
        }
        waiting = found->second;
    }
    asio::post(waiting->timer.get_executor(), [waiting, is_granted] {
        waiting->is_over = true;
        waiting->is_granted = is_granted;
        waiting->timer.cancel();
    });
}

void admission_gate::on_tick(steady_time now) {
    std::map<service_name, std::shared_ptr<service_gate>> gates;
    {
        const std::lock_guard lock(mutex_);
        gates = gates_;
    }
    for (const auto& [name, gate] : gates) {
        wake(*gate, gate->admission.on_tick(
                        share_of_capacity(router_.load(name)), now));
    }
}

} // namespace savorydock
