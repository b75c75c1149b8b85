#include "servers/batch/room_queue.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

void room_queue::on_no_room(const item_key& item, std::uint64_t cache_tokens) {
    waiting_[item].cache_tokens = cache_tokens;
    candidates_.push_back(item);
}

void room_queue::on_placed(std::uint64_t cache_tokens, steady_time now) {
    for (auto& [item, waiting] : waiting_) {
        if (waiting.cache_tokens > cache_tokens && !waiting.passed_over_at) {
            waiting.passed_over_at = now;
        }
    }
}

void room_queue::on_expired(const item_key& item, steady_time now) {
    if (const auto found = waiting_.find(item); found != waiting_.end()) {
        found->second.passed_over_at = now;
    }
}

void room_queue::forget(const job_id& job) {
    std::erase_if(waiting_,
                  [&](const auto& row) { return row.first.first == job; });
}

void room_queue::clear() {
    waiting_.clear();
    candidates_.clear();
}

std::vector<item_key> room_queue::choose(std::size_t engines, std::size_t used,
                                         steady_time now) const {
    const auto most = std::max<std::size_t>(
        1, static_cast<std::size_t>(options_.max_share *
                                    static_cast<double>(engines)));
    std::vector<std::pair<steady_time, item_key>> due;
    for (const item_key& item : candidates_) {
        const auto found = waiting_.find(item);
        if (found == waiting_.end() || !found->second.passed_over_at) {
            continue;
        }
        const steady_time since = *found->second.passed_over_at;
        if (now >= since + options_.reserve_after) {
            due.emplace_back(since, item);
        }
    }
    std::sort(due.begin(), due.end());
    std::vector<item_key> chosen;
    for (const auto& [since, item] : due) {
        if (used + chosen.size() >= most) {
            break;
        }
        chosen.push_back(item);
    }
    return chosen;
}

} // namespace savorydock
