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

void listed_rows::evict() {
    rows_ = {};
    bytes_ = 0;
    complete_in_term_ = 0;
}

void listed_rows::on_read_complete(store_revision term) {
    complete_in_term_ = term;
    const bool is_fenced_off = commit_term_ < term;
    const bool is_position_taken = commit_position_ < rows_.size();
    if (is_fenced_off || is_position_taken) {
        commit_sent_at_.reset();
        has_open_commit_ = false;
    }
}

void listed_rows::on_commit_sent(store_revision term, std::size_t position,
                                 steady_time now) {
    commit_term_ = term;
    commit_position_ = position;
    commit_sent_at_ = now;
}

void listed_rows::on_commit_listed() {
    commit_sent_at_.reset();
    has_open_commit_ = false;
}

void listed_rows::on_commit_failed(bool may_be_listed) {
    commit_sent_at_.reset();
    has_open_commit_ = has_open_commit_ || may_be_listed;
}

bool listed_rows::is_complete(store_revision term, steady_time now) const {
    const bool is_commit_open =
        has_open_commit_ ||
        (commit_sent_at_ && now >= *commit_sent_at_ + max_commit_time);
    return term != 0 && complete_in_term_ == term && !is_commit_open;
}

} // namespace savorydock
