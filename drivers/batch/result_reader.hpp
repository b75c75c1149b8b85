#pragma once

#include "core/logger.hpp"
#include "drivers/batch/result_source.hpp"
#include "drivers/store/store_client.hpp"
#include "servers/batch/batch_job.hpp"
#include "servers/batch/result_cache.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// From where a read of results was answered.
enum class result_origin : std::uint8_t {
    /// From the cache, without a call.
    cache,
    planner,
    /// By a read of the store.
    store,
    /// By a watch of the store.
    watch,
};
inline constexpr std::size_t result_origin_count = 4;

/// Returns the name as in logs and metrics.
[[nodiscard]] std::string_view name_of(result_origin origin);

/// A page of a job's results in encoded form.
struct result_page {
    std::size_t total = 0;
    std::size_t next_position = 0;
    std::vector<std::string> rows;
    result_origin origin = result_origin::cache;
};

/// Counts answered reads by their origin.
struct result_read_counters {
    std::array<std::uint64_t, result_origin_count> with_rows{};
    /// Reads that found no row at a position that is not the end.
    std::array<std::uint64_t, result_origin_count> empty{};
};

/// Reads listed results: from the cache, from the job's planner and from the
/// store, in this order. Not thread safe: all calls must come from one traffic
/// thread.
class result_reader {
public:
    /// `client` and `log` must outlive the calls. `max_cache_bytes` limits the
    /// memory for cached results of all jobs.
    result_reader(store_client& client, logger& log,
                  std::size_t max_cache_bytes);

    /// Results are read from `source` first. It must outlive the calls.
    void use_source(result_source& source) { source_ = &source; }

    /// Reads the results from position `first` on. If there are none yet, waits
    /// up to `wait` for the next one. Errors are the store's.
    boost::asio::awaitable<outcome<result_page>>
    read(job_record record, std::size_t first, std::chrono::milliseconds wait);

    /// Returns the rows from `first` on if this instance knows all that are
    /// listed, as `knows_all` tells; waits up to `wait` for the first one if
    /// the job is open. `record` is the job's, if it is known. Makes no call to
    /// the store.
    boost::asio::awaitable<std::optional<std::vector<std::string>>>
    read_own(job_id job, std::optional<job_record> record, std::size_t first,
             std::chrono::milliseconds wait, std::function<bool()> knows_all);

    /// Whether the cached rows are all that was listed before this term.
    [[nodiscard]] bool is_complete(const job_id& job,
                                   store_revision term) const;

    /// Reads the results that the cache doesn't have yet from the store.
    boost::asio::awaitable<outcome<done>> refresh(job_id job);

    /// Adds rows that are listed, and wakes the reads that wait for them.
    void append(const job_id& job, std::size_t position,
                std::vector<std::string> rows);

    /// The known rows of a job. The reference is valid until the next call.
    listed_rows& rows(const job_id& job) { return cache_.entry(job).rows; }

    [[nodiscard]] const result_read_counters& counters() const {
        return counters_;
    }

private:
    boost::asio::awaitable<outcome<result_page>>
    find_page(job_record record, std::size_t first,
              std::chrono::milliseconds wait);
    boost::asio::awaitable<outcome<result_page>>
    read_from_store(job_record record, std::size_t first, steady_time end);
    /// Waits for rows after those in the cache and adds them. Returns false if
    /// the store must be read instead.
    boost::asio::awaitable<bool> watch(job_id job,
                                       std::chrono::milliseconds wait);
    /// Returns false if the rows before those of the value are missing, because
    /// they were evicted while the value was read.
    [[nodiscard]] bool append_stored(const job_id& job,
                                     const stored_value& value);
    [[nodiscard]] result_page make_page(const job_record& record,
                                        std::size_t first,
                                        result_origin origin) const;
    void count_read(const job_record& record, std::size_t first,
                    std::chrono::milliseconds wait, const result_page& page,
                    std::chrono::steady_clock::duration duration);

    store_client& client_;
    logger& log_;
    result_read_counters counters_;
    result_source* source_ = nullptr;
    result_cache cache_;
    /// Timers of the reads that wait for a job's next row.
    std::multimap<job_id, std::shared_ptr<boost::asio::steady_timer>>
        waiting_reads_;
};

} // namespace savorydock
