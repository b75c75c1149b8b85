#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
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
    /// A commit without an outcome for this long may have been listed, so the
    /// planner no longer knows all rows.
    static constexpr std::chrono::milliseconds max_commit_time{300};

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

    /// Removes the rows. They are no longer complete; the state of a commit is
    /// kept.
    void evict();

    [[nodiscard]] std::size_t size() const { return rows_.size(); }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    [[nodiscard]] const std::vector<std::string>& rows() const { return rows_; }

    /// All rows listed in terms before this one have been read from the store,
    /// after the term began. A commit of the same term whose position is still
    /// free stays open: it may be listed after the read.
    void on_read_complete(store_revision term);
    /// A commit of rows from `position` on was sent, provided that `term`
    /// holds.
    void on_commit_sent(store_revision term, std::size_t position,
                        steady_time now);
    /// The rows of the commit are listed, and were appended.
    void on_commit_listed();
    /// `may_be_listed`: the store may still list the rows of the commit. The
    /// next commit is for the same position, so only one of them takes effect.
    void on_commit_failed(bool may_be_listed);

    /// Whether a commit has no outcome, or failed and may still be listed.
    [[nodiscard]] bool has_open_commit() const {
        return has_open_commit_ || commit_sent_at_;
    }

    /// Whether `rows` are all that is listed, given that this instance holds
    /// the job's term now.
    [[nodiscard]] bool is_complete(store_revision term, steady_time now) const;

private:
    std::vector<std::string> rows_;
    std::size_t bytes_ = 0;
    /// The term in which the rows were read; 0 if in none.
    store_revision complete_in_term_ = 0;
    /// The last commit that was sent.
    store_revision commit_term_ = 0;
    std::size_t commit_position_ = 0;
    /// Absent if the outcome of that commit is known.
    std::optional<steady_time> commit_sent_at_;
    /// A commit failed that may still be listed.
    bool has_open_commit_ = false;
};

} // namespace savorydock
