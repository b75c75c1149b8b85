#pragma once

#include "core/ids.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace savorydock {

/// The listed results of one job as far as this instance knows them, in
/// encoded form.
///
/// Load pattern: clients read each open job twice a second through any
/// instance. Rows that were listed once never change, so each instance keeps
/// those it has seen. The job's planner also knows that there are no others:
/// only the holder of the term lists results. The other instances ask it, and
/// the store gets no call for a read while the planner is reachable.
///
/// Not thread safe; deterministic.
class listed_rows {
public:
    /// Adds rows that begin at a position. Ignores those already known, and all
    /// if rows before the position are missing (`has_gap_before`). Returns
    /// whether rows were added.
    bool append(std::size_t position, std::vector<std::string> rows);

    /// Returns the rows from a position on, at least one if there is one, and
    /// otherwise up to `max_bytes`.
    [[nodiscard]] std::vector<std::string> page(std::size_t first,
                                                std::size_t max_bytes) const;

    /// Whether rows before the position are missing.
    [[nodiscard]] bool has_gap_before(std::size_t position) const {
        return position > rows_.size();
    }

    [[nodiscard]] std::size_t size() const { return rows_.size(); }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    [[nodiscard]] const std::vector<std::string>& rows() const { return rows_; }

    /// All rows listed in terms before this one have been read from the store,
    /// after the term began.
    void on_read_complete(store_revision term) { complete_in_term_ = term; }

    /// Whether `rows` are all that is listed, given that this instance holds
    /// the job's term now and has no open commit (`open_commits`).
    [[nodiscard]] bool is_complete(store_revision term) const {
        return term != 0 && complete_in_term_ == term;
    }

private:
    std::vector<std::string> rows_;
    std::size_t bytes_ = 0;
    /// The term in which the rows were read; 0 if in none.
    store_revision complete_in_term_ = 0;
};

} // namespace savorydock
