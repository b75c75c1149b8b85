#pragma once

#include "core/logger.hpp"
#include "drivers/batch/result_reader.hpp"
#include "drivers/store/scope_term.hpp"
#include "drivers/store/store_client.hpp"
#include "servers/batch/batch_job.hpp"
#include "servers/batch/item_planner.hpp"
#include "servers/batch/open_commits.hpp"
#include "servers/fleet/fleet_configuration.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// The outcome of a submission.
enum class accept_end : std::uint8_t {
    /// The job is stored durably, by this call or an earlier one.
    accepted,
    /// The job is not stored and won't be.
    refused,
    /// A job of another organisation has the id.
    foreign,
    /// The store did not answer, so the job may be stored or not.
    unknown,
};

/// A job read from the store, with the items whose results are listed.
struct loaded_job {
    std::shared_ptr<const batch_job> job;
    std::vector<item_id> listed;
};

/// What earlier planners saved of a job's items, by index of the item.
struct saved_items {
    /// Texts of unfinished items.
    std::map<std::size_t, item_progress> texts;
    /// Runs that failed.
    std::map<std::size_t, std::uint32_t> failures;
};

/// Stores batch jobs in the platform's store: their submissions, results and
/// ends. Not thread safe: all calls must come from one traffic thread.
///
/// Errors of reads: `not_found` if the job does not exist. Any other error is
/// the store's and means that the job's state is unknown.
class job_store {
public:
    /// Limit on the memory for cached results of all jobs. The least recently
    /// read job is evicted first.
    static constexpr std::size_t default_max_result_bytes = 48U << 20U;

    /// All references must outlive the job store.
    job_store(store_client& client, logger& log,
              std::size_t max_result_bytes = default_max_result_bytes);

    /// The record of a job changed, or was removed if there is none. A job that
    /// has ended stays ended, even if an older record arrives later.
    void on_record(const job_id& job, std::optional<job_record> record);

    /// Another instance knows that the job has ended. Returns whether this
    /// instance has the job's record and didn't know it.
    bool on_end_reported(const job_id& job);

    [[nodiscard]] const std::map<job_id, job_record>& records() const {
        return records_;
    }

    /// Returns the record of a job. Reads the store if this instance doesn't
    /// know it.
    boost::asio::awaitable<outcome<job_record>> find_record(job_id job);

    /// Whether a submission of that size fits into the store.
    [[nodiscard]] bool is_storable(std::size_t submission_bytes) const;

    /// Stores a job durably. Repeats an unanswered write until `deadline`,
    /// because such a write may have taken effect and can't be undone.
    boost::asio::awaitable<accept_end>
    accept(job_record record, std::string submission, steady_time deadline);

    /// Results are read from `source` first. It must outlive the calls.
    void use_result_source(result_source& source) {
        results_.use_source(source);
    }

    /// Reads the results from position `first` on. If there are none yet, waits
    /// up to `wait` for the next one.
    boost::asio::awaitable<outcome<result_page>>
    read_results(job_id job, std::size_t first, std::chrono::milliseconds wait);

    [[nodiscard]] const result_read_counters& result_reads() const {
        return results_.counters();
    }

    /// Reads the body of an item. Error: `not_found` if the job or the item
    /// does not exist.
    boost::asio::awaitable<outcome<std::string>> read_item(job_id job,
                                                           item_id item);

    /// Ends a job. Succeeds if the job has already ended.
    boost::asio::awaitable<outcome<done>> end(job_id job);

    /// Reads a job and the current list of its results. Precondition: this
    /// instance holds `term`, in which it plans the job.
    boost::asio::awaitable<outcome<loaded_job>> load(job_record record,
                                                     store_revision term);

    /// Returns the rows from `first` on if this instance knows all that are
    /// listed; waits up to `wait` for the first one. `term` returns the term in
    /// which this instance plans the job now, or 0. Makes no call to the store.
    boost::asio::awaitable<std::optional<std::vector<std::string>>>
    read_own_results(job_id job, std::size_t first,
                     std::chrono::milliseconds wait,
                     std::function<store_revision()> term);

    /// Reads what earlier planners saved. Returns nothing of it if the store
    /// can't be read: without it the items start from the beginning.
    boost::asio::awaitable<saved_items> load_progress(job_id job);

    /// Saves parts of texts of several jobs, provided that the term still
    /// holds. Texts of different jobs may share a write.
    boost::asio::awaitable<void>
    save_progress(held_term term, std::vector<struct save_progress> texts);

    /// Lists results, provided that the term still holds.
    boost::asio::awaitable<commit_end> commit(held_term term,
                                              commit_results results);

private:
    [[nodiscard]] std::size_t max_part_bytes() const;

    boost::asio::awaitable<outcome<std::shared_ptr<const batch_job>>>
    read_submission(job_record record);
    boost::asio::awaitable<void> save_texts(held_term term,
                                            std::vector<stored_value> texts);

    store_client& client_;
    logger& log_;
    result_reader results_;
    open_commits open_commits_;
    std::map<job_id, job_record> records_;
    std::map<job_id, store_revision> record_revisions_;
    std::list<std::shared_ptr<const batch_job>> cached_submissions_;
    /// Number of progress saves by this process; makes their keys unique within
    /// a term.
    std::size_t save_count_ = 0;
};

} // namespace savorydock
