#include "servers/batch/listed_rows.hpp"

#include <utility>

namespace savorydock {

bool listed_rows::append(std::size_t position, std::vector<std::string> rows) {
    if (has_gap_before(position) || position + rows.size() <= rows_.size()) {
        return false;
    }
    for (std::size_t at = rows_.size() - position; at < rows.size(); ++at) {
        bytes_ += rows[at].size();
        rows_.push_back(std::move(rows[at]));
    }
    return true;
}

std::vector<std::string> listed_rows::page(std::size_t first,
                                           std::size_t max_bytes) const {
    std::vector<std::string> found;
    std::size_t bytes = 0;
    for (std::size_t at = first; at < rows_.size(); ++at) {
        bytes += rows_[at].size() + 1;
        if (bytes > max_bytes && !found.empty()) {
            break;
        }
        found.push_back(rows_[at]);
    }
    return found;
}

} // namespace savorydock
