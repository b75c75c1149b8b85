#include "servers/admission/fair_share_queue.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

void fair_share_queue::set_weight(const caller_id& caller,
                                  std::uint32_t weight) {
    queues_[caller].weight = weight;
}

void fair_share_queue::push(waiting_request request) {
    caller_queue& queue = queues_[request.caller];
    if (queue.waiting.empty()) {
        queue.pass = std::max(queue.pass, virtual_time_);
    }
    queue.waiting.push_back(std::move(request));
    ++size_;
}

std::optional<waiting_request> fair_share_queue::pop() {
    caller_queue* next = nullptr;
    for (auto& [caller, queue] : queues_) {
        if (!queue.waiting.empty() &&
            (next == nullptr || queue.pass < next->pass)) {
            next = &queue;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    waiting_request request = std::move(next->waiting.front());
    next->waiting.pop_front();
    --size_;
    virtual_time_ = next->pass;
    next->pass += static_cast<double>(request.cost) / next->weight;
    return request;
}

bool fair_share_queue::remove(std::uint64_t ticket) {
    for (auto& [caller, queue] : queues_) {
        const auto found =
            std::find_if(queue.waiting.begin(), queue.waiting.end(),
                         [&](const auto& r) { return r.ticket == ticket; });
        if (found != queue.waiting.end()) {
            queue.waiting.erase(found);
            --size_;
            return true;
        }
    }
    return false;
}

std::vector<std::uint64_t> fair_share_queue::remove_expired(steady_time limit) {
    std::vector<std::uint64_t> expired;
    for (auto& [caller, queue] : queues_) {
        std::erase_if(queue.waiting, [&](const waiting_request& request) {
            if (request.deadline > limit) {
                return false;
            }
            expired.push_back(request.ticket);
            return true;
        });
    }
    size_ -= expired.size();
    return expired;
}

std::optional<steady_time> fair_share_queue::oldest_arrival() const {
    std::optional<steady_time> oldest;
    for (const auto& [caller, queue] : queues_) {
        if (!queue.waiting.empty() &&
            (!oldest || queue.waiting.front().arrival < *oldest)) {
            oldest = queue.waiting.front().arrival;
        }
    }
    return oldest;
}

} // namespace savorydock
