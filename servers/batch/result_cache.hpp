#pragma once

#include "servers/batch/batch_job.hpp"
#include "servers/batch/listed_rows.hpp"

#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace savorydock {

/// What an instance knows of the listed results of one job.
struct cached_results {
    listed_rows rows;
    /// The last key of the results that was read from the store.
    std::string last_key;
    /// `rows` is complete up to this revision of the store.
    store_revision revision = 0;
    /// The last call was a watch that returned rows, so the next watch may
    /// continue from `revision` without a read.
    bool can_resume_watch = false;
};

/// The listed results of all jobs that an instance knows, up to a limit on
/// their memory. The least recently read job is evicted first, also while a
/// call for it is under way. Only the state of its open commit is kept.
///
/// Not thread safe; deterministic.
class result_cache {
public:
    explicit result_cache(std::size_t max_bytes);

    /// Returns the entry of a job; makes an empty one if there is none. The
    /// reference is valid until the next `on_read`.
    cached_results& entry(const job_id& job) { return entries_[job]; }

    /// Returns null if there is no entry.
    [[nodiscard]] const cached_results* find(const job_id& job) const;

    /// Adds rows that begin at a position. Returns whether rows were added.
    bool append(const job_id& job, std::size_t position,
                std::vector<std::string> rows);

    /// Returns the rows of a job from a position on, see `listed_rows::page`.
    [[nodiscard]] std::vector<std::string>
    page(const job_id& job, std::size_t first, std::size_t max_bytes) const;

    /// A caller read the job's results. Evicts those of other jobs if the
    /// limit is exceeded.
    void on_read(const job_id& job);

private:
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    std::map<job_id, cached_results> entries_;
    /// Jobs by the time of their last read, oldest first.
    std::list<job_id> recently_read_;
};

} // namespace savorydock
