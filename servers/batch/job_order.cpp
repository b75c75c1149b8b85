#include "servers/batch/job_order.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace savorydock {

std::vector<std::size_t> order_by_urgency(const std::vector<open_job>& jobs) {
    std::vector<std::size_t> order(jobs.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](auto left, auto right) {
        const auto key = [&](std::size_t at) {
            return std::pair(jobs[at].priority, jobs[at].due);
        };
        return key(left) < key(right);
    });
    return order;
}

} // namespace savorydock
