#include "servers/cost/work_exchange.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

namespace {

/// Larger figures are errors; the bound keeps the sums of all reports in range.
constexpr std::uint64_t max_work = 10'000'000'000;

} // namespace

void work_exchange::on_report(const instance_id& from,
                              std::vector<upstream_sum> sums, steady_time now) {
    if (sums.size() > max_sums) {
        sums.resize(max_sums);
    }
    reports_[from] = {.sums = std::move(sums), .received_at = now};
}

std::vector<upstream_sum>
work_exchange::add_up(const std::vector<upstream_sum>& own, steady_time now) {
    on_sent(own);
    std::erase_if(reports_, [&](const auto& row) {
        return now - row.second.received_at > report_lifetime;
    });
    std::map<upstream_id, upstream_sum> totals = own_;
    for (const auto& [instance, received] : reports_) {
        for (const upstream_sum& sum : received.sums) {
            totals[sum.upstream].work += std::min(sum.work, max_work);
        }
    }
    std::vector<upstream_sum> sums;
    for (auto& [upstream, total] : totals) {
        if (sums.size() == max_sums) {
            break;
        }
        total.upstream = upstream;
        sums.push_back(total);
    }
    return sums;
}

void work_exchange::on_sent(const std::vector<upstream_sum>& own) {
    own_.clear();
    for (const upstream_sum& sum : own) {
        own_[sum.upstream] = sum;
    }
}

std::vector<upstream_sum>
work_exchange::without_own(std::vector<upstream_sum> sums) const {
    if (sums.size() > max_sums) {
        sums.resize(max_sums);
    }
    for (upstream_sum& sum : sums) {
        const auto own = own_.find(sum.upstream);
        if (own == own_.end()) {
            continue;
        }
        // The sums may hold an older report of this instance, or none.
        sum.work -= std::min(sum.work, own->second.work);
    }
    return sums;
}

} // namespace savorydock
