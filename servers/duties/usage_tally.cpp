#include "servers/duties/usage_tally.hpp"

#include <algorithm>

namespace savorydock {

std::size_t usage_tally::merge(const process_counts& counts, usage_window first,
                               usage_window last) {
    std::size_t outside = 0;
    for (const window_counts& added : counts.windows) {
        if (added.window < first || added.window > last) {
            outside += added.counts.empty() ? 0 : 1;
            continue;
        }
        source_counts& known = sources_[{counts.instance, counts.process}];
        known.first_window = counts.first_window;
        window_counts& window = known.windows[added.window];
        window.window = added.window;
        window.is_final = window.is_final || added.is_final;
        for (const auto& [organisation, count] : added.counts) {
            std::uint64_t& total = window.counts[organisation];
            total = std::max(total, count);
        }
    }
    return outside;
}

bool usage_tally::is_complete(usage_window window,
                              const std::set<instance_id>& instances) const {
    return std::all_of(
        instances.begin(), instances.end(), [&](const instance_id& instance) {
            for (auto at = sources_.lower_bound({instance, 0});
                 at != sources_.end() && at->first.instance == instance; ++at) {
                const auto found = at->second.windows.find(window);
                if (at->second.first_window > window ||
                    (found != at->second.windows.end() &&
                     found->second.is_final)) {
                    return true;
                }
            }
            return false;
        });
}

run_counts usage_tally::sum(usage_window window) const {
    run_counts total;
    for (const auto& [from, known] : sources_) {
        const auto found = known.windows.find(window);
        if (found == known.windows.end()) {
            continue;
        }
        for (const auto& [organisation, count] : found->second.counts) {
            total[organisation] += count;
        }
    }
    return total;
}

void usage_tally::erase_before(usage_window window) {
    for (auto& [from, known] : sources_) {
        known.windows.erase(known.windows.begin(),
                            known.windows.lower_bound(window));
    }
    std::erase_if(sources_, [](const auto& entry) {
        return entry.second.windows.empty();
    });
}

usage_counts usage_tally::copy_without(const instance_id& instance) const {
    usage_counts copy;
    for (const auto& [from, known] : sources_) {
        if (from.instance == instance) {
            continue;
        }
        process_counts counts{.instance = from.instance,
                              .process = from.process,
                              .first_window = known.first_window};
        for (const auto& [window, values] : known.windows) {
            counts.windows.push_back(values);
        }
        copy.processes.push_back(std::move(counts));
    }
    return copy;
}

} // namespace savorydock
