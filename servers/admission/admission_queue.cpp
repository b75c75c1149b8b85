#include "servers/admission/admission_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace savorydock {

namespace {

/// Weight of the newest run in the moving average of run times.
constexpr double smoothing = 1.0 / 8;

/// An instance claims half of the slots that seem free at each load report.
constexpr std::uint32_t free_slot_divisor = 2;

} // namespace

admission_queue::admission_queue(admission_options options,
                                 std::span<const class_rule> classes,
                                 std::span<const caller_rule> callers)
    : options_(options) {
    for (const class_rule& rule : classes) {
        queues_.push_back({.rule = rule});
    }
    std::stable_sort(
        queues_.begin(), queues_.end(),
        [](const class_queue& a, const class_queue& b) {
            return std::pair(!a.rule.is_interactive, a.rule.priority) <
                   std::pair(!b.rule.is_interactive, b.rule.priority);
        });
    for (const caller_rule& caller : callers) {
        if (class_queue* const queue = find_queue(caller.class_of_service)) {
            queue->requests.set_weight(caller.name,
                                       std::max(1U, caller.weight));
        }
    }
}

admission_queue::class_queue*
admission_queue::find_queue(const class_name& name) {
    const auto found =
        std::find_if(queues_.begin(), queues_.end(), [&](const auto& queue) {
            return queue.rule.name == name;
        });
    return found == queues_.end() ? nullptr : &*found;
}

std::size_t admission_queue::waiting(const class_name& name) const {
    const auto found =
        std::find_if(queues_.begin(), queues_.end(), [&](const auto& queue) {
            return queue.rule.name == name;
        });
    return found == queues_.end() ? 0 : found->requests.size();
}

std::uint32_t admission_queue::batch_capacity() const {
    const auto reserved = static_cast<std::uint32_t>(
        std::ceil(options_.capacity * options_.interactive_reserve));
    return options_.capacity > reserved ? options_.capacity - reserved : 1;
}

bool admission_queue::has_capacity(const class_queue& queue) const {
    if (!queue.rule.is_interactive) {
        return running_batch_ < batch_capacity() &&
               running() < std::max(1U, options_.capacity);
    }
    // Interactive requests may use their reserve even if more batch requests
    // are running than the reduced capacity allows.
    const std::uint32_t reserved =
        options_.capacity - std::min(options_.capacity, batch_capacity());
    return running() < options_.capacity ||
           running_interactive_ < std::max(1U, reserved);
}

std::chrono::duration<double>
admission_queue::expected_wait(const class_queue& queue) const {
    std::size_t ahead = 0;
    for (const class_queue& other : queues_) {
        ahead += other.requests.size();
        if (&other == &queue) {
            break;
        }
    }
    const std::uint32_t width = queue.rule.is_interactive
                                    ? std::max(1U, options_.capacity)
                                    : batch_capacity();
    return queue.mean_run_time * static_cast<double>(ahead + 1) / width;
}

outcome<admission_verdict>
admission_queue::submit(const admission_request& request, steady_time now) {
    class_queue* const queue = find_queue(request.class_of_service);
    if (queue == nullptr) {
        return failure{result_code::not_run_bad_request, "undeclared class"};
    }
    if (request.deadline <= now) {
        return failure{result_code::not_run_deadline, "passed on arrival"};
    }
    const bool is_queue_empty = queue->requests.size() == 0;
    if (is_queue_empty && has_capacity(*queue)) {
        grant(*queue, request.ticket, now);
        return admission_verdict::granted;
    }
    if (queue->requests.size() >= queue->rule.queue_length) {
        return failure{result_code::not_run_overloaded, "queue is full"};
    }
    if (now + std::chrono::duration_cast<steady_time::duration>(
                  expected_wait(*queue) + queue->mean_run_time) >
        request.deadline) {
        return failure{result_code::not_run_overloaded,
                       "the deadline can't be met"};
    }
    queue->requests.push({.ticket = request.ticket,
                          .caller = request.caller,
                          .arrival = now,
                          .deadline = request.deadline,
                          .cost = request.cost});
    return admission_verdict::queued;
}

void admission_queue::grant(class_queue& queue, std::uint64_t ticket,
                            steady_time now) {
    const auto index = static_cast<std::size_t>(&queue - queues_.data());
    running_[ticket] = {.queue_index = index, .since = now};
    if (queue.rule.is_interactive) {
        ++running_interactive_;
        ++grants_since_batch_;
        return;
    }
    ++running_batch_;
    grants_since_batch_ = 0;
}

admission_queue::class_queue* admission_queue::aged_queue(steady_time now) {
    class_queue* oldest = nullptr;
    steady_time since = now - options_.aging_limit;
    for (class_queue& queue : queues_) {
        const auto arrival = queue.requests.oldest_arrival();
        if (!queue.rule.is_interactive && arrival && *arrival <= since) {
            since = *arrival;
            oldest = &queue;
        }
    }
    return oldest;
}

admission_queue::class_queue* admission_queue::next_queue(steady_time now) {
    if (grants_since_batch_ >= options_.aging_interval &&
        running() < options_.capacity) {
        if (class_queue* const aged = aged_queue(now)) {
            return aged;
        }
    }
    for (class_queue& queue : queues_) {
        if (queue.requests.size() > 0 && has_capacity(queue)) {
            return &queue;
        }
    }
    return nullptr;
}

steady_time
admission_queue::latest_unmeetable_deadline(const class_queue& queue,
                                            steady_time now) {
    return now + std::chrono::duration_cast<steady_time::duration>(
                     queue.mean_run_time);
}

void admission_queue::expire_waiting(steady_time now,
                                     admission_change& change) {
    for (class_queue& queue : queues_) {
        const auto expired = queue.requests.remove_expired(
            latest_unmeetable_deadline(queue, now));
        change.expired.insert(change.expired.end(), expired.begin(),
                              expired.end());
    }
}

void admission_queue::grant_waiting(steady_time now, admission_change& change) {
    while (class_queue* const queue = next_queue(now)) {
        const auto request = queue->requests.pop();
        if (request->deadline <= latest_unmeetable_deadline(*queue, now)) {
            change.expired.push_back(request->ticket);
            continue;
        }
        grant(*queue, request->ticket, now);
        change.granted.push_back(request->ticket);
    }
}

admission_change admission_queue::release(std::uint64_t ticket,
                                          steady_time now) {
    admission_change change;
    const auto found = running_.find(ticket);
    if (found != running_.end()) {
        class_queue& queue = queues_[found->second.queue_index];
        const std::chrono::duration<double> ran = now - found->second.since;
        queue.mean_run_time =
            queue.mean_run_time.count() == 0
                ? ran
                : queue.mean_run_time + (ran - queue.mean_run_time) * smoothing;
        --(queue.rule.is_interactive ? running_interactive_ : running_batch_);
        running_.erase(found);
    }
    grant_waiting(now, change);
    return change;
}

bool admission_queue::cancel(std::uint64_t ticket) {
    return std::any_of(queues_.begin(), queues_.end(), [&](class_queue& queue) {
        return queue.requests.remove(ticket);
    });
}

admission_change admission_queue::on_tick(steady_time now) {
    admission_change change;
    expire_waiting(now, change);
    grant_waiting(now, change);
    return change;
}

std::uint32_t share_of_capacity(const fleet_load& load) {
    const std::uint32_t free =
        load.slots > load.load ? load.slots - load.load : 0;
    const std::uint32_t share =
        (free + free_slot_divisor - 1) / free_slot_divisor;
    return std::max(1U, load.own_in_flight + share);
}

} // namespace savorydock
