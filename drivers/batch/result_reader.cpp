#include "drivers/batch/result_reader.hpp"

#include "core/utf8.hpp"
#include "servers/batch/job_keys.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// The protocol limits a page of results to 1 MB.
constexpr std::size_t max_page_bytes = 900'000;
/// Reads of a job's results, if they are evicted meanwhile.
constexpr int max_result_reads = 2;

/// Makes rows that the previous build encoded valid: it lists any bytes, and a
/// page with such a row isn't JSON.
void repair_rows(std::vector<std::string>& rows) {
    for (std::string& row : rows) {
        if (!is_utf8(row)) {
            row = replace_invalid_utf8(row);
        }
    }
}

} // namespace

std::string_view name_of(result_origin origin) {
    switch (origin) {
    case result_origin::cache:
        return "cache";
    case result_origin::planner:
        return "planner";
    case result_origin::store:
        return "store";
    case result_origin::watch:
        return "watch";
    }
    return "unlisted";
}

result_reader::result_reader(store_client& client, logger& log,
                             std::size_t max_cache_bytes)
    : client_(client)
    , log_(log)
    , cache_(max_cache_bytes) {}

void result_reader::append(const job_id& job, std::size_t position,
                           std::vector<std::string> rows) {
    if (!cache_.append(job, position, std::move(rows))) {
        return;
    }
    const auto [first, last] = waiting_reads_.equal_range(job);
    for (auto waiting = first; waiting != last; ++waiting) {
        waiting->second->cancel();
    }
}

bool result_reader::append_stored(const job_id& job,
                                  const stored_value& value) {
    const auto position = results_position(job, value.key);
    if (!position) {
        return true;
    }
    if (rows(job).has_gap_before(*position)) {
        return false;
    }
    std::vector<std::string> rows_there = split_rows(value.value);
    repair_rows(rows_there);
    append(job, *position, std::move(rows_there));
    cached_results& known = cache_.entry(job);
    known.last_key = std::max(known.last_key, value.key);
    return true;
}

asio::awaitable<outcome<done>> result_reader::refresh(job_id job) {
    bool has_gap = true;
    for (int tries = 0; has_gap && tries < max_result_reads; ++tries) {
        const std::string after = cache_.entry(job).last_key;
        const auto page =
            co_await client_.read_range(results_prefix(job), after);
        if (!page) {
            co_return page.reason();
        }
        if (page->unreadable > 0) {
            co_return failure{result_code::bad_frame, "results can't be read"};
        }
        // Rows that are missing now were evicted during the read.
        has_gap = cache_.entry(job).last_key < after;
        for (const stored_value& value : page->values) {
            has_gap = !append_stored(job, value) || has_gap;
        }
        cache_.entry(job).revision = has_gap ? 0 : page->revision;
    }
    if (has_gap) {
        co_return failure{result_code::store_unanswered,
                          "results were evicted while they were read"};
    }
    cache_.mark_used(job);
    co_return done{};
}

result_page result_reader::make_page(const job_record& record,
                                     std::size_t first,
                                     result_origin origin) const {
    result_page page{.total = record.total,
                     .rows = cache_.page(record.id, first, max_page_bytes),
                     .origin = origin};
    page.next_position = first + page.rows.size();
    return page;
}

void result_reader::count_read(const job_record& record, std::size_t first,
                               std::chrono::milliseconds wait,
                               const result_page& page,
                               std::chrono::steady_clock::duration duration) {
    const auto origin = static_cast<std::size_t>(page.origin);
    if (!page.rows.empty()) {
        ++counters_.with_rows.at(origin);
        return;
    }
    if (first >= record.total) {
        return;
    }
    ++counters_.empty.at(origin);
    if (!record.is_ended && wait.count() > 0 && duration >= wait) {
        // Nothing was listed during the wait.
        return;
    }
    const cached_results* const known = cache_.find(record.id);
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    log_.write(log_event::result_read_empty,
               "job=" + record.id.text() + " first=" + std::to_string(first) +
                   " known=" +
                   std::to_string(known == nullptr ? 0 : known->rows.size()) +
                   " revision=" +
                   std::to_string(known == nullptr ? 0 : known->revision) +
                   " total=" + std::to_string(record.total) +
                   " ended=" + (record.is_ended ? "yes" : "no") +
                   " origin=" + std::string(name_of(page.origin)) +
                   " wait_ms=" + std::to_string(wait.count()) +
                   " took_ms=" + std::to_string(milliseconds.count()));
}

asio::awaitable<outcome<result_page>>
result_reader::read(job_record record, std::size_t first,
                    std::chrono::milliseconds wait) {
    const auto begin = std::chrono::steady_clock::now();
    auto page = co_await find_page(record, first, wait);
    if (page) {
        count_read(record, first, wait, *page,
                   std::chrono::steady_clock::now() - begin);
    }
    co_return page;
}

asio::awaitable<outcome<result_page>>
result_reader::find_page(job_record record, std::size_t first,
                         std::chrono::milliseconds wait) {
    const steady_time end = std::chrono::steady_clock::now() + wait;
    result_page page = make_page(record, first, result_origin::cache);
    if (!page.rows.empty() || first >= record.total) {
        co_return page;
    }
    if (source_ != nullptr) {
        auto rows = co_await source_->read(record, first, wait);
        if (rows) {
            page.rows = std::move(*rows);
            repair_rows(page.rows);
            page.next_position = first + page.rows.size();
            page.origin = result_origin::planner;
            append(record.id, first, page.rows);
            cache_.mark_used(record.id);
            co_return page;
        }
    }
    // Other reads may have found rows meanwhile.
    page = make_page(record, first, result_origin::cache);
    if (!page.rows.empty()) {
        co_return page;
    }
    co_return co_await read_from_store(std::move(record), first, end);
}

bool result_reader::is_complete(const job_id& job, store_revision term) const {
    const cached_results* const known = cache_.find(job);
    return known != nullptr && known->rows.is_complete(term);
}

asio::awaitable<std::optional<std::vector<std::string>>>
result_reader::read_own(job_id job, std::optional<job_record> record,
                        std::size_t first, std::chrono::milliseconds wait,
                        std::function<bool()> knows_all) {
    if (!knows_all()) {
        co_return std::nullopt;
    }
    const std::size_t size = rows(job).size();
    const bool can_grow = record && !record->is_ended && size < record->total;
    if (first >= size && can_grow && wait.count() > 0) {
        const auto timer = std::make_shared<asio::steady_timer>(
            co_await asio::this_coro::executor, wait);
        const auto waiting = waiting_reads_.emplace(job, timer);
        co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
        waiting_reads_.erase(waiting);
        if (!knows_all()) {
            co_return std::nullopt;
        }
    }
    co_return cache_.page(job, first, max_page_bytes);
}

asio::awaitable<outcome<result_page>>
result_reader::read_from_store(job_record record, std::size_t first,
                               steady_time end) {
    using std::chrono::milliseconds;
    const job_id job = record.id;
    const auto time_to_watch = [&] {
        const bool can_grow =
            !record.is_ended && rows(job).size() < record.total;
        const auto left = std::chrono::duration_cast<milliseconds>(
            end - std::chrono::steady_clock::now());
        return can_grow ? std::max(left, milliseconds(0)) : milliseconds(0);
    };
    milliseconds wait = time_to_watch();
    // A watch that continues where the last one ended needs no read before it.
    const bool resumes = wait.count() > 0 && cache_.entry(job).can_resume_watch;
    if (!resumes) {
        if (const auto read = co_await refresh(job); !read) {
            co_return read.reason();
        }
        result_page page = make_page(record, first, result_origin::store);
        wait = time_to_watch();
        if (!page.rows.empty() || wait.count() == 0) {
            co_return page;
        }
    }
    if (co_await watch(job, wait)) {
        result_page page = make_page(record, first, result_origin::watch);
        if (!page.rows.empty() || !resumes) {
            co_return page;
        }
    }
    // A page without rows follows a read that began after the request.
    if (const auto read = co_await refresh(job); !read) {
        co_return read.reason();
    }
    co_return make_page(record, first, result_origin::store);
}

asio::awaitable<bool> result_reader::watch(job_id job,
                                           std::chrono::milliseconds wait) {
    cache_.entry(job).can_resume_watch = false;
    const auto changes = co_await client_.watch(
        results_prefix(job), cache_.entry(job).revision, wait);
    if (!changes || changes->unreadable > 0) {
        co_return false;
    }
    bool has_gap = false;
    for (const store_change& change : changes->changes) {
        has_gap = !append_stored(job, change.value) || has_gap;
    }
    if (has_gap) {
        co_return false;
    }
    cached_results& known = cache_.entry(job);
    known.revision = std::max(known.revision, changes->revision);
    known.can_resume_watch = !changes->changes.empty();
    co_return true;
}

} // namespace savorydock
