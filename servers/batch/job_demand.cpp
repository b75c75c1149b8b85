#include "servers/batch/job_demand.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string_view>

namespace savorydock {

namespace {

struct group_demand {
    std::uint64_t tokens = 0;
    std::uint64_t longest = 0;
};

/// Items without a group are groups of their own.
std::vector<group_demand>
demand_by_group(const batch_job& job,
                const std::vector<std::uint64_t>& tokens_left) {
    std::map<std::string_view, std::size_t> positions;
    std::vector<group_demand> groups;
    for (std::size_t at = 0; at < tokens_left.size(); ++at) {
        const std::string_view name = job.items[at].group;
        std::size_t position = groups.size();
        if (!name.empty()) {
            position = positions.try_emplace(name, position).first->second;
        }
        if (position == groups.size()) {
            groups.emplace_back();
        }
        groups[position].tokens += tokens_left[at];
        groups[position].longest =
            std::max(groups[position].longest, tokens_left[at]);
    }
    return groups;
}

} // namespace

std::uint64_t estimated_tokens_left(const batch_item& item,
                                    std::uint64_t generated_tokens) {
    const std::uint64_t expected =
        item.max_tokens > 0 ? std::min(item.expected_tokens, item.max_tokens)
                            : item.expected_tokens;
    return expected > generated_tokens ? expected - generated_tokens : 1;
}

job_demand demand_of(const batch_job& job,
                     const std::vector<std::uint64_t>& tokens_left) {
    std::vector<group_demand> groups = demand_by_group(job, tokens_left);
    std::sort(groups.begin(), groups.end(),
              [](const group_demand& left, const group_demand& right) {
                  return left.tokens < right.tokens;
              });
    const std::size_t wanted =
        job.target_groups == 0
            ? groups.size()
            : std::min<std::size_t>(job.target_groups, groups.size());
    job_demand demand;
    for (std::size_t at = 0; at < groups.size(); ++at) {
        demand.open_tokens += groups[at].tokens;
        if (at < wanted) {
            demand.needed_tokens += groups[at].tokens;
            demand.longest_needed_tokens =
                std::max(demand.longest_needed_tokens, groups[at].longest);
        }
    }
    return demand;
}

std::chrono::duration<double> least_time(const job_demand& demand,
                                         double tokens_ahead,
                                         const service_speed& speed) {
    const double all =
        (tokens_ahead + static_cast<double>(demand.needed_tokens)) /
        speed.tokens_per_second;
    const double longest = static_cast<double>(demand.longest_needed_tokens) /
                           speed.slot_tokens_per_second;
    return std::chrono::duration<double>(std::max(all, longest));
}

} // namespace savorydock
