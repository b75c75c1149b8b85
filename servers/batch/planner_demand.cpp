#include "servers/batch/item_planner.hpp"

#include <algorithm>

namespace savorydock {

namespace {

/// A trainer that waits for a part of the groups ends the job after them; some
/// more are run because lengths are only estimates.
constexpr double surplus_of_groups = 1.15;

} // namespace

worker_demand item_planner::demand(steady_time now) const {
    worker_demand demand;
    const double milliseconds = roster_.typical_event_milliseconds();
    if (milliseconds > 0) {
        demand.slot_rate =
            1000.0 * static_cast<double>(engine_settings_.tokens_per_event) /
            milliseconds;
    }
    std::map<std::pair<job_id, std::size_t>, std::uint64_t> running_events;
    for (const auto& [ticket, run] : runs_) {
        running_events[{run.job, run.item}] = run.progress.events;
    }
    for (const auto& [id, job] : jobs_) {
        due_work work{.due_in =
                          std::chrono::duration_cast<std::chrono::milliseconds>(
                              job.accepted_at + job.settings.target - now)};
        double tokens = 0;
        for (std::size_t index = 0; index < job.items.size(); ++index) {
            const item_state& item = job.items[index];
            const bool is_running = item.phase == item_phase::running;
            if (!is_running && item.phase != item_phase::waiting) {
                continue;
            }
            // More workers don't help items that fit none.
            if (job.on_probation.contains({item.rank, index})) {
                continue;
            }
            const auto run = running_events.find({id, index});
            const std::uint64_t events = run != running_events.end()
                                             ? run->second
                                             : item.progress.events;
            const std::uint64_t generated =
                events * engine_settings_.tokens_per_event;
            tokens += static_cast<double>(
                std::max(item.expected_tokens,
                         generated + engine_settings_.tokens_per_event) -
                generated);
            (is_running ? work.running_items : work.waiting_items) += 1;
        }
        const std::size_t groups = job.open_items.size();
        const std::uint32_t wanted = job.submission->target_groups;
        if (wanted > 0 && groups > 0) {
            tokens *= std::min(1.0, surplus_of_groups * wanted /
                                        static_cast<double>(groups));
        }
        work.tokens = static_cast<std::uint64_t>(tokens);
        if (work.waiting_items + work.running_items > 0) {
            demand.work.push_back(work);
        }
    }
    std::sort(demand.work.begin(), demand.work.end(),
              [](const due_work& left, const due_work& right) {
                  return left.due_in < right.due_in;
              });
    return demand;
}

} // namespace savorydock
