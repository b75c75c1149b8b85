#include "servers/admission/fair_share_queue.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

void fair_share_queue::declare(const caller_id& caller, std::uint32_t weight) {
    lines_[caller].weight = weight;
}

void fair_share_queue::push(waiting_request request) {
    caller_line& line = lines_[request.caller];
    if (line.waiting.empty()) {
        line.pass = std::max(line.pass, virtual_time_);
    }
    line.waiting.push_back(std::move(request));
    ++size_;
}

std::optional<waiting_request> fair_share_queue::pop() {
    caller_line* next = nullptr;
    for (auto& [caller, line] : lines_) {
        if (!line.waiting.empty() &&
            (next == nullptr || line.pass < next->pass)) {
            next = &line;
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
    for (auto& [caller, line] : lines_) {
        const auto found =
            std::find_if(line.waiting.begin(), line.waiting.end(),
                         [&](const auto& r) { return r.ticket == ticket; });
        if (found != line.waiting.end()) {
            line.waiting.erase(found);
            --size_;
            return true;
        }
    }
    return false;
}

std::vector<std::uint64_t> fair_share_queue::remove_expired(steady_time limit) {
    std::vector<std::uint64_t> expired;
    for (auto& [caller, line] : lines_) {
        std::erase_if(line.waiting, [&](const waiting_request& request) {
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
    for (const auto& [caller, line] : lines_) {
        if (!line.waiting.empty() &&
            (!oldest || line.waiting.front().arrival < *oldest)) {
            oldest = line.waiting.front().arrival;
        }
    }
    return oldest;
}

} // namespace savorydock
