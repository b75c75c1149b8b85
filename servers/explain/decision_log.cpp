#include "servers/explain/decision_log.hpp"

#include <array>

namespace savorydock {

std::string_view name_of(decision_kind kind) {
    constexpr std::array<std::string_view, 11> names{
        "received",  "refused",  "routed",      "tried_again",
        "resumed",   "hedged",   "asked_peers", "claimed",
        "discarded", "finished", "ordered"};
    return names.at(static_cast<std::size_t>(kind));
}

void decision_log::add(const std::string& subject, decision what,
                       steady_time now) {
    const std::lock_guard lock(mutex_);
    auto [found, is_new] = entries_.try_emplace(subject);
    if (is_new) {
        found->second.record.subject = subject;
        found->second.first_decision_at = now;
        insertion_order_.push_back(subject);
    }
    entry& target = found->second;
    what.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
        now - target.first_decision_at);
    if (target.record.decisions.size() >= options_.max_decisions_per_record) {
        ++target.record.dropped;
    } else {
        target.record.decisions.push_back(std::move(what));
    }
    if (insertion_order_.size() > options_.max_records) {
        entries_.erase(insertion_order_.front());
        insertion_order_.pop_front();
    }
}

decision_record decision_log::find(const std::string& subject) const {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(subject);
    if (found == entries_.end()) {
        return {.subject = subject};
    }
    return found->second.record;
}

std::size_t decision_log::size() const {
    const std::lock_guard lock(mutex_);
    return insertion_order_.size();
}

} // namespace savorydock
