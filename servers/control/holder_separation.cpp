#include "servers/control/holder_separation.hpp"

#include <algorithm>

namespace savorydock {

void holder_separation::on_term(store_revision term, bool follows_settled_term,
                                time_point now) {
    term_ = term;
    follows_settled_term_ = follows_settled_term;
    forget_distant_calls(now);
}

void holder_separation::on_call(const std::string& subject, store_revision term,
                                time_point at) {
    last_call& last = calls_[subject];
    if (term >= last.term) {
        last = {.term = term, .at = std::max(last.at, at)};
    }
    if (calls_.size() >= forget_at_size_) {
        forget_distant_calls(at);
        forget_at_size_ = std::max(forget_at_size_, 2 * calls_.size());
    }
}

void holder_separation::forget_distant_calls(time_point now) {
    std::erase_if(calls_, [&](const auto& row) {
        return end_of_distance(row.second.at) <= now;
    });
}

holder_separation::time_point holder_separation::earliest_first_call() const {
    return options_.process_start && !follows_settled_term_
               ? end_of_distance(*options_.process_start)
               : time_point{};
}

holder_separation::time_point
holder_separation::earliest_call(const std::string& subject) const {
    const auto last = calls_.find(subject);
    if (last == calls_.end()) {
        return earliest_first_call();
    }
    // A call in this term kept the distance already.
    return last->second.term == term_
               ? time_point{}
               : std::max(earliest_first_call(),
                          end_of_distance(last->second.at));
}

std::map<std::string, holder_separation::time_point>
holder_separation::waiting_subjects() const {
    std::map<std::string, time_point> waiting;
    for (const auto& [subject, last] : calls_) {
        const time_point earliest = earliest_call(subject);
        if (earliest > earliest_first_call()) {
            waiting.emplace(subject, earliest);
        }
    }
    return waiting;
}

holder_separation::time_point holder_separation::settled_from() const {
    time_point from = earliest_first_call();
    for (const auto& [subject, last] : calls_) {
        if (last.term != term_) {
            from = std::max(from, end_of_distance(last.at));
        }
    }
    return from;
}

} // namespace savorydock
