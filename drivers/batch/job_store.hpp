#pragma once

#include "core/logger.hpp"
#include "drivers/store/scope_term.hpp"
#include "drivers/store/store_client.hpp"
#include "servers/batch/batch_job.hpp"
#include "servers/batch/item_planner.hpp"
#include "servers/fleet/fleet_configuration.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// How a submission ended.
enum class accept_end : std::uint8_t {
    /// The job is durable, by this call or an earlier one.
    accepted,
    /// Nothing was kept and nothing will be.
    refused,
    /// The store did not say whether the job is kept.
    unknown,
};

/// A page of a job's results, each encoded.
struct result_page {
    std::size_t total = 0;
    std::size_t next_position = 0;
    std::vector<std::string> rows;
};

/// A submission as read back, with what is listed of it.
struct loaded_job {
    std::shared_ptr<const batch_job> job;
    std::vector<item_id> listed;
};

/// Batch jobs in the platform's store: acceptance, results, bodies, ends.
/// Belongs to one traffic thread.
///
/// Errors of reads: `not_found` if the job does not exist, else what the
/// store said: the state is not known.
class job_store {
public:
    /// All references must outlive the store.
    job_store(store_client& client, logger& log);

    /// The record of a job changed; nothing: it is gone. An ended job never
    /// opens again.
    void on_record(const job_id& job, std::optional<job_record> record);

    [[nodiscard]] const std::map<job_id, job_record>& records() const {
        return records_;
    }

    /// Makes a job durable. Repeats an unanswered write until `deadline`,
    /// since what it left can't be taken back.
    boost::asio::awaitable<accept_end>
    accept(job_record record, std::string submission, steady_time deadline);

    /// Results from a position on. Waits up to `wait` for the next one.
    boost::asio::awaitable<outcome<result_page>>
    read_results(job_id job, std::size_t first, std::chrono::milliseconds wait);

    /// The body of an item; `not_found` once the job is ended.
    boost::asio::awaitable<outcome<std::string>> read_item(job_id job,
                                                           item_id item);

    /// Ends a job. Succeeds also if it was ended before.
    boost::asio::awaitable<outcome<done>> end(job_id job);

    /// Reads a job and the list of its results, as they are now.
    boost::asio::awaitable<outcome<loaded_job>> load(job_record record);

    /// Texts of unfinished items that a planner saved, by the items' index. An
    /// unreadable store brings none: they are only a help.
    boost::asio::awaitable<std::map<std::size_t, item_progress>>
    load_progress(job_id job);

    /// Saves parts of texts under the condition that the term still holds.
    boost::asio::awaitable<void> save_progress(held_term term,
                                               struct save_progress progress);

    /// Lists results under the condition that the term still holds.
    boost::asio::awaitable<commit_end> commit(held_term term,
                                              commit_results results);

private:
    /// Rows that were read, in order; results never change once listed.
    struct known_results {
        std::vector<std::string> rows;
        std::string last_key;
        /// All rows up to this revision of the store are here.
        store_revision revision = 0;
        /// The last call was a watch that brought rows: the next may follow it.
        bool is_followed = false;
        std::size_t bytes = 0;
    };

    boost::asio::awaitable<outcome<job_record>> find_record(job_id job);
    boost::asio::awaitable<outcome<done>> refresh(job_id job);
    boost::asio::awaitable<outcome<std::shared_ptr<const batch_job>>>
    read_submission(job_record record);
    void append_rows(const job_id& job, const stored_value& value);
    [[nodiscard]] result_page make_page(const job_id& job, std::size_t total,
                                        std::size_t first) const;
    void bound_memory();

    store_client& client_;
    logger& log_;
    std::map<job_id, job_record> records_;
    std::map<job_id, store_revision> record_revisions_;
    std::map<job_id, known_results> results_;
    /// Jobs in the order of their last reading, for the bound on memory.
    std::list<job_id> recently_read_;
    std::size_t result_bytes_ = 0;
    std::list<std::shared_ptr<const batch_job>> submissions_;
    /// Counts the saved parts of texts in this process.
    std::size_t saves_ = 0;
};

} // namespace savorydock
