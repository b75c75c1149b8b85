#include "servers/batch/result_cache.hpp"

#include <utility>

namespace savorydock {

result_cache::result_cache(std::size_t max_bytes)
    : max_bytes_(max_bytes) {}

const cached_results* result_cache::find(const job_id& job) const {
    const auto found = entries_.find(job);
    return found == entries_.end() ? nullptr : &found->second;
}

bool result_cache::append(const job_id& job, std::size_t position,
                          std::vector<std::string> rows) {
    listed_rows& known = entries_[job].rows;
    const std::size_t bytes_before = known.bytes();
    const bool is_added = known.append(position, std::move(rows));
    bytes_ += known.bytes() - bytes_before;
    return is_added;
}

std::vector<std::string> result_cache::page(const job_id& job,
                                            std::size_t first,
                                            std::size_t max_bytes) const {
    const cached_results* const known = find(job);
    return known == nullptr ? std::vector<std::string>()
                            : known->rows.page(first, max_bytes);
}

void result_cache::on_read(const job_id& job) {
    recently_read_.remove(job);
    recently_read_.push_back(job);
    while (bytes_ > max_bytes_ && recently_read_.size() > 1) {
        const auto oldest = entries_.find(recently_read_.front());
        recently_read_.pop_front();
        if (oldest == entries_.end()) {
            continue;
        }
        listed_rows& rows = oldest->second.rows;
        bytes_ -= rows.bytes();
        if (rows.has_open_commit()) {
            rows.evict();
            oldest->second = {.rows = std::move(rows)};
        } else {
            entries_.erase(oldest);
        }
    }
}

} // namespace savorydock
