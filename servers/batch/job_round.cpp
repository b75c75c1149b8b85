#include "servers/batch/job_round.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace savorydock {

std::vector<job_place> sort_jobs(const std::vector<open_job>& jobs,
                                 const std::vector<job_standing>& standings) {
    std::vector<job_place> places;
    places.reserve(jobs.size());
    for (std::size_t at = 0; at < jobs.size(); ++at) {
        places.push_back(
            {.job = at,
             .priority = jobs[at].priority,
             .is_yielding = standings[at] != job_standing::in_time});
    }
    std::stable_sort(places.begin(), places.end(),
                     [&](const job_place& left, const job_place& right) {
                         const auto key = [&](const job_place& place) {
                             return std::tuple(place.priority,
                                               place.is_yielding,
                                               jobs[place.job].due);
                         };
                         return key(left) < key(right);
                     });
    return places;
}

job_round::job_round(const std::vector<open_job>& jobs,
                     std::vector<job_place> places, organisation_shares& shares)
    : jobs_(jobs)
    , places_(std::move(places))
    , shares_(shares)
    , is_exhausted_(jobs.size(), false) {}

std::optional<std::size_t> job_round::next() {
    while (first_ < places_.size() && is_exhausted_[places_[first_].job]) {
        ++first_;
    }
    if (first_ == places_.size()) {
        return std::nullopt;
    }
    const job_place& first = places_[first_];
    if (!first.is_shared) {
        return first.job;
    }
    std::size_t best = first.job;
    double least = shares_.received(jobs_[best].record->organisation);
    for (std::size_t at = first_ + 1; at < places_.size(); ++at) {
        const job_place& place = places_[at];
        if (place.priority != first.priority ||
            place.is_yielding != first.is_yielding) {
            break;
        }
        const double received =
            shares_.received(jobs_[place.job].record->organisation);
        if (!is_exhausted_[place.job] && received < least) {
            best = place.job;
            least = received;
        }
    }
    return best;
}

void job_round::on_placed(std::size_t job, std::uint64_t tokens) {
    if (jobs_[job].has_organisations) {
        shares_.charge(jobs_[job].record->organisation, tokens);
    }
}

} // namespace savorydock
