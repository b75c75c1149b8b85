#pragma once

#include "core/clock.hpp"
#include "servers/batch/batch_job.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace savorydock {

/// Commits of results that may still take effect at the store. While a job has
/// one, its planner can't tell which results are listed.
///
/// A commit takes effect only while its term holds and its position is free.
/// One without an answer may do so seconds later.
///
/// Not thread safe; deterministic.
class open_commits {
public:
    /// A commit without an outcome for this long counts as open.
    static constexpr std::chrono::milliseconds max_commit_time{300};

    /// Records a commit of results from `position` on. Returns its number,
    /// which names it in the calls below.
    [[nodiscard]] std::uint64_t on_sent(const job_id& job, store_revision term,
                                        std::size_t position, steady_time now);

    /// The results of a commit are listed, so its position is taken.
    void on_listed(const job_id& job, std::uint64_t number);

    /// A commit failed. `may_be_listed`: it may still take effect.
    void on_failed(const job_id& job, std::uint64_t number, bool may_be_listed);

    /// The positions before `size` are taken, as read from the store.
    void on_positions_taken(const job_id& job, std::size_t size);

    /// Whether a commit of the job may be listed unknown to its planner in this
    /// term. The term's key fences off the commits of earlier terms.
    [[nodiscard]] bool has_open(const job_id& job, store_revision term,
                                steady_time now) const;

private:
    struct commit {
        store_revision term = 0;
        std::size_t position = 0;
        /// When the commit was sent; absent if it failed.
        std::optional<steady_time> sent_at;
    };
    using commits = std::map<std::uint64_t, commit>;

    std::map<job_id, commits> commits_;
    std::uint64_t next_number_ = 1;
};

} // namespace savorydock
