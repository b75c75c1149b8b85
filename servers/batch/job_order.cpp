#include "servers/batch/job_order.hpp"

#include <algorithm>

namespace savorydock {

namespace {

/// Whether the order depends on anything but priority and due time.
bool has_competition(const std::vector<open_job>& jobs) {
    return std::any_of(jobs.begin(), jobs.end(), [](const open_job& job) {
        return job.has_organisations && !job.record->organisation.is_empty();
    });
}

bool is_measured(const service_speed& speed) {
    return speed.tokens_per_second > 0 && speed.slot_tokens_per_second > 0;
}

std::string to_word(job_standing standing) {
    switch (standing) {
    case job_standing::in_time:
        return "in_time";
    case job_standing::target_reached:
        return "target_reached";
    case job_standing::too_late:
        return "too_late";
    }
    return "unlisted";
}

} // namespace

std::string to_text(const order_change& change) {
    const std::string priority = " priority=" + std::to_string(change.priority);
    if (!change.job.is_empty()) {
        return "job=" + change.job.text() + priority +
               " standing=" + to_word(change.standing);
    }
    return "jobs=" + to_word(change.standing) + priority +
           " shared=" + (change.is_shared ? "true" : "false");
}

bool job_order::needs_refresh(const std::vector<open_job>& jobs,
                              steady_time now) const {
    if (!has_competition(jobs)) {
        return !standings_.empty();
    }
    return now >= refreshed_at_ + options_.refresh_period ||
           std::any_of(jobs.begin(), jobs.end(), [&](const open_job& job) {
               return !standings_.contains(job.record->id);
           });
}

job_standing job_order::standing_of(const job_id& job) const {
    const auto found = standings_.find(job);
    return found == standings_.end() ? job_standing::in_time : found->second;
}

job_standing job_order::judge(const open_job& job, const job_demand& demand,
                              const service_speed& speed,
                              steady_time now) const {
    if (demand.open_tokens == 0) {
        return job_standing::in_time;
    }
    if (demand.needed_tokens == 0) {
        return job_standing::target_reached;
    }
    if (job.due <= now) {
        return job_standing::too_late;
    }
    const bool was_too_late =
        standing_of(job.record->id) == job_standing::too_late;
    if (!is_measured(speed)) {
        return was_too_late ? job_standing::too_late : job_standing::in_time;
    }
    const std::chrono::duration<double> time_left = job.due - now;
    const bool is_too_late =
        least_time(demand, 0, speed) >
        time_left * (was_too_late ? options_.return_share : 1);
    return is_too_late ? job_standing::too_late : job_standing::in_time;
}

std::set<job_order::level>
job_order::find_contested(const std::vector<open_job>& jobs,
                          const std::vector<job_demand>& demands,
                          const service_speed& speed, steady_time now) const {
    std::vector<job_standing> standings;
    standings.reserve(jobs.size());
    for (const open_job& job : jobs) {
        standings.push_back(standing_of(job.record->id));
    }
    std::map<level, std::set<organisation_id>> competitors;
    std::set<level> late;
    double tokens_ahead = 0;
    for (const job_place& place : sort_jobs(jobs, standings)) {
        const open_job& job = jobs[place.job];
        const job_demand& demand = demands[place.job];
        const level own(place.priority, place.is_yielding);
        if (demand.open_tokens == 0) {
            continue;
        }
        competitors[own].insert(job.record->organisation);
        const std::chrono::duration<double> time_left = job.due - now;
        const double share =
            contested_.contains(own) ? options_.return_share : 1;
        const bool is_late =
            standings[place.job] == job_standing::too_late ||
            (is_measured(speed) && demand.needed_tokens > 0 &&
             least_time(demand, tokens_ahead, speed) > time_left * share);
        if (is_late) {
            late.insert(own);
        }
        tokens_ahead += static_cast<double>(demand.open_tokens);
    }
    std::erase_if(
        late, [&](const level& one) { return competitors[one].size() < 2; });
    return late;
}

std::vector<order_change>
job_order::refresh(const std::vector<open_job>& jobs,
                   const std::vector<job_demand>& demands,
                   const service_speed& speed, steady_time now) {
    refreshed_at_ = now;
    std::vector<order_change> changes;
    std::map<job_id, job_standing> standings;
    std::set<level> contested;
    if (has_competition(jobs)) {
        std::set<organisation_id> organisations;
        for (std::size_t at = 0; at < jobs.size(); ++at) {
            standings[jobs[at].record->id] =
                judge(jobs[at], demands[at], speed, now);
            if (demands[at].open_tokens > 0) {
                organisations.insert(jobs[at].record->organisation);
            }
        }
        shares_.set_competing(std::move(organisations), speed.tokens_per_second,
                              now);
    }
    standings_.swap(standings);
    for (const open_job& job : jobs) {
        const auto before = standings.find(job.record->id);
        const job_standing old =
            before == standings.end() ? job_standing::in_time : before->second;
        const job_standing standing = standing_of(job.record->id);
        if (standing != old) {
            changes.push_back({.job = job.record->id,
                               .standing = standing,
                               .priority = job.priority});
        }
    }
    if (!standings_.empty()) {
        contested = find_contested(jobs, demands, speed, now);
    }
    contested_.swap(contested);
    const auto report = [&](const std::set<level>& levels, bool is_shared) {
        for (const level& one : levels) {
            if (!contested.contains(one) || !contested_.contains(one)) {
                changes.push_back({.standing = one.second
                                                   ? job_standing::too_late
                                                   : job_standing::in_time,
                                   .priority = one.first,
                                   .is_shared = is_shared});
            }
        }
    };
    report(contested_, true);
    report(contested, false);
    return changes;
}

job_round job_order::begin_round(const std::vector<open_job>& jobs) {
    std::vector<job_standing> standings;
    standings.reserve(jobs.size());
    for (const open_job& job : jobs) {
        standings.push_back(standing_of(job.record->id));
    }
    std::vector<job_place> places = sort_jobs(jobs, standings);
    for (job_place& place : places) {
        place.is_shared =
            contested_.contains({place.priority, place.is_yielding});
    }
    return {jobs, std::move(places), shares_};
}

} // namespace savorydock
