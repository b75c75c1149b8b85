#include "servers/batch/kept_results.hpp"

#include <chrono>

namespace savorydock {

namespace {

/// Results that are not released are dropped after this time; a new planner
/// requests them within seconds.
constexpr std::chrono::milliseconds result_retention{20'000};
/// Maximum number of kept results. At about 10 KB each, they use a tenth of the
/// smallest machine's memory.
constexpr std::size_t max_kept_results = 1'500;

/// Maximum size of all kept results.
constexpr std::size_t max_kept_bytes = 24U << 20U;

std::size_t bytes_of(const held_run& result) {
    return result.text.size() + result.score.size();
}

} // namespace

void kept_results::keep(const service_name& service, held_run result,
                        steady_time now) {
    const std::size_t bytes = bytes_of(result);
    while (!results_.empty() && (results_.size() >= max_kept_results ||
                                 bytes_ + bytes > max_kept_bytes)) {
        release(results_.begin()->first);
    }
    bytes_ += bytes;
    const run_ticket ticket = result.ticket;
    results_[ticket] = {
        .service = service, .ended_at = now, .result = std::move(result)};
}

void kept_results::release(run_ticket ticket) {
    const auto kept = results_.find(ticket);
    if (kept != results_.end()) {
        bytes_ -= bytes_of(kept->second.result);
        results_.erase(kept);
    }
}

void kept_results::drop_old(
    steady_time now, const std::function<bool(const job_id& job)>& is_ended) {
    std::vector<run_ticket> old;
    for (const auto& [ticket, kept] : results_) {
        if (now > kept.ended_at + result_retention ||
            is_ended(kept.result.job)) {
            old.push_back(ticket);
        }
    }
    for (const run_ticket ticket : old) {
        release(ticket);
    }
}

void kept_results::append_to(std::vector<held_run>& held,
                             const service_name& service) const {
    for (const auto& [ticket, kept] : results_) {
        if (kept.service == service) {
            held.push_back(kept.result);
        }
    }
}

} // namespace savorydock
