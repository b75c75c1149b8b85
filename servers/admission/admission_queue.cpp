#include "servers/admission/admission_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace savorydock {

namespace {

/// The newest run's part in the mean is 1/8.
constexpr double smoothing = 1.0 / 8;

/// An instance takes half of what seems free at each report.
constexpr std::uint32_t free_slot_divisor = 2;

} // namespace

admission_queue::admission_queue(admission_options options,
                                 std::span<const class_rule> classes,
                                 std::span<const caller_rule> callers)
    : options_(options) {
    for (const class_rule& rule : classes) {
        lines_.push_back({.rule = rule});
    }
    std::stable_sort(
        lines_.begin(), lines_.end(),
        [](const class_line& a, const class_line& b) {
            return std::pair(!a.rule.is_interactive, a.rule.priority) <
                   std::pair(!b.rule.is_interactive, b.rule.priority);
        });
    for (const caller_rule& caller : callers) {
        if (class_line* const line = find_line(caller.class_of_service)) {
            line->queue.declare(caller.name, std::max(1U, caller.weight));
        }
    }
}

admission_queue::class_line*
admission_queue::find_line(const class_name& name) {
    const auto found =
        std::find_if(lines_.begin(), lines_.end(),
                     [&](const auto& line) { return line.rule.name == name; });
    return found == lines_.end() ? nullptr : &*found;
}

std::size_t admission_queue::waiting(const class_name& name) const {
    const auto found =
        std::find_if(lines_.begin(), lines_.end(),
                     [&](const auto& line) { return line.rule.name == name; });
    return found == lines_.end() ? 0 : found->queue.size();
}

std::uint32_t admission_queue::batch_capacity() const {
    const auto reserved = static_cast<std::uint32_t>(
        std::ceil(options_.capacity * options_.interactive_reserve));
    return options_.capacity > reserved ? options_.capacity - reserved : 1;
}

bool admission_queue::has_room(const class_line& line) const {
    if (!line.rule.is_interactive) {
        return running_batch_ < batch_capacity() &&
               running() < std::max(1U, options_.capacity);
    }
    // The reserve stands even while batch work runs over a fallen capacity.
    const std::uint32_t reserved =
        options_.capacity - std::min(options_.capacity, batch_capacity());
    return running() < options_.capacity ||
           running_interactive_ < std::max(1U, reserved);
}

std::chrono::duration<double>
admission_queue::expected_wait(const class_line& line) const {
    std::size_t ahead = 0;
    for (const class_line& other : lines_) {
        ahead += other.queue.size();
        if (&other == &line) {
            break;
        }
    }
    const std::uint32_t width = line.rule.is_interactive
                                    ? std::max(1U, options_.capacity)
                                    : batch_capacity();
    return line.mean_run * static_cast<double>(ahead + 1) / width;
}

outcome<admission_verdict>
admission_queue::submit(const admission_request& request, steady_time now) {
    class_line* const line = find_line(request.class_of_service);
    if (line == nullptr) {
        return failure{result_code::not_run_bad_request, "undeclared class"};
    }
    if (request.deadline <= now) {
        return failure{result_code::not_run_deadline, "passed on arrival"};
    }
    const bool is_line_empty = line->queue.size() == 0;
    if (is_line_empty && has_room(*line)) {
        grant(*line, request.ticket, now);
        return admission_verdict::granted;
    }
    if (line->queue.size() >= line->rule.queue_length) {
        return failure{result_code::not_run_overloaded, "queue is full"};
    }
    if (now + std::chrono::duration_cast<steady_time::duration>(
                  expected_wait(*line) + line->mean_run) >
        request.deadline) {
        return failure{result_code::not_run_overloaded,
                       "the deadline can't be met"};
    }
    line->queue.push({.ticket = request.ticket,
                      .caller = request.caller,
                      .arrival = now,
                      .deadline = request.deadline,
                      .cost = request.cost});
    return admission_verdict::queued;
}

void admission_queue::grant(class_line& line, std::uint64_t ticket,
                            steady_time now) {
    const auto index = static_cast<std::size_t>(&line - lines_.data());
    running_[ticket] = {.line = index, .since = now};
    if (line.rule.is_interactive) {
        ++running_interactive_;
        ++grants_since_batch_;
        return;
    }
    ++running_batch_;
    grants_since_batch_ = 0;
}

admission_queue::class_line* admission_queue::aged_line(steady_time now) {
    class_line* oldest = nullptr;
    steady_time since = now - options_.aging_limit;
    for (class_line& line : lines_) {
        const auto arrival = line.queue.oldest_arrival();
        if (!line.rule.is_interactive && arrival && *arrival <= since) {
            since = *arrival;
            oldest = &line;
        }
    }
    return oldest;
}

admission_queue::class_line* admission_queue::next_line(steady_time now) {
    if (grants_since_batch_ >= options_.aging_interval &&
        running() < options_.capacity) {
        if (class_line* const aged = aged_line(now)) {
            return aged;
        }
    }
    for (class_line& line : lines_) {
        if (line.queue.size() > 0 && has_room(line)) {
            return &line;
        }
    }
    return nullptr;
}

steady_time admission_queue::last_start(const class_line& line,
                                        steady_time now) {
    // What can't be done by its deadline any more would only be late.
    return now +
           std::chrono::duration_cast<steady_time::duration>(line.mean_run);
}

void admission_queue::expire_waiting(steady_time now,
                                     admission_change& change) {
    for (class_line& line : lines_) {
        const auto expired = line.queue.remove_expired(last_start(line, now));
        change.expired.insert(change.expired.end(), expired.begin(),
                              expired.end());
    }
}

void admission_queue::grant_waiting(steady_time now, admission_change& change) {
    while (class_line* const line = next_line(now)) {
        const auto request = line->queue.pop();
        if (request->deadline <= last_start(*line, now)) {
            change.expired.push_back(request->ticket);
            continue;
        }
        grant(*line, request->ticket, now);
        change.granted.push_back(request->ticket);
    }
}

admission_change admission_queue::release(std::uint64_t ticket,
                                          steady_time now) {
    admission_change change;
    const auto found = running_.find(ticket);
    if (found != running_.end()) {
        class_line& line = lines_[found->second.line];
        const std::chrono::duration<double> ran = now - found->second.since;
        line.mean_run = line.mean_run.count() == 0
                            ? ran
                            : line.mean_run + (ran - line.mean_run) * smoothing;
        --(line.rule.is_interactive ? running_interactive_ : running_batch_);
        running_.erase(found);
    }
    grant_waiting(now, change);
    return change;
}

bool admission_queue::cancel(std::uint64_t ticket) {
    return std::any_of(lines_.begin(), lines_.end(), [&](class_line& line) {
        return line.queue.remove(ticket);
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
