#include "servers/batch/open_commits.hpp"

#include <algorithm>

namespace savorydock {

std::uint64_t open_commits::on_sent(const job_id& job, store_revision term,
                                    std::size_t position, steady_time now) {
    commits& of_job = commits_[job];
    std::erase_if(of_job,
                  [&](const auto& entry) { return entry.second.term < term; });
    of_job[next_number_] = {.term = term, .position = position, .sent_at = now};
    return next_number_++;
}

void open_commits::on_listed(const job_id& job, std::uint64_t number) {
    const auto of_job = commits_.find(job);
    if (of_job == commits_.end()) {
        return;
    }
    const auto listed = of_job->second.find(number);
    if (listed != of_job->second.end()) {
        on_positions_taken(job, listed->second.position + 1);
    }
}

void open_commits::on_failed(const job_id& job, std::uint64_t number,
                             bool may_be_listed) {
    const auto of_job = commits_.find(job);
    if (of_job == commits_.end()) {
        return;
    }
    const auto failed = of_job->second.find(number);
    if (failed == of_job->second.end()) {
        return;
    }
    if (may_be_listed) {
        failed->second.sent_at.reset();
        return;
    }
    of_job->second.erase(failed);
}

void open_commits::on_positions_taken(const job_id& job, std::size_t size) {
    const auto of_job = commits_.find(job);
    if (of_job == commits_.end()) {
        return;
    }
    std::erase_if(of_job->second, [&](const auto& entry) {
        return entry.second.position < size;
    });
    if (of_job->second.empty()) {
        commits_.erase(of_job);
    }
}

bool open_commits::has_open(const job_id& job, store_revision term,
                            steady_time now) const {
    const auto of_job = commits_.find(job);
    return of_job != commits_.end() &&
           std::any_of(of_job->second.begin(), of_job->second.end(),
                       [&](const auto& entry) {
                           const commit& one = entry.second;
                           const bool is_late =
                               !one.sent_at ||
                               now >= *one.sent_at + max_commit_time;
                           return one.term >= term && is_late;
                       });
}

} // namespace savorydock
