#include "drivers/batch/job_store.hpp"

#include "core/wire_codec.hpp"
#include "platform/batch_codec.hpp"
#include "servers/batch/job_keys.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// Size of a submission part as a share of the store's value limit: 3/5 leaves
/// room for base64.
constexpr std::size_t part_share_numerator = 3;
constexpr std::size_t part_share_denominator = 5;
/// A transaction takes 32 entries, including its conditions and the record.
constexpr std::size_t max_parts = 28;
/// The protocol limits a page of results to 1 MB.
constexpr std::size_t max_page_bytes = 900'000;
/// Memory for cached results of all jobs. The least recently read job is
/// evicted first.
constexpr std::size_t max_result_bytes = 48U << 20U;
constexpr std::size_t max_cached_submissions = 6;
constexpr std::chrono::milliseconds accept_retry_delay{60};
constexpr int max_end_tries = 4;

asio::awaitable<void> pause(std::chrono::milliseconds time) {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Appends a saved part to a text, or replaces the text if the part begins with
/// the first event and has more events. Ignores a part whose predecessor was
/// not saved.
void merge_saved_part(item_progress& text, const saved_progress& part) {
    if (part.base_events == 0 && part.events > text.events) {
        text = {.text = part.text,
                .events = part.events,
                .versions = part.versions};
        return;
    }
    if (part.base_events != text.events || part.base_events == 0) {
        return;
    }
    text.text += '\n' + part.text;
    text.events = part.events;
    text.versions = part.versions;
}

/// The item to which an encoded result belongs.
item_id item_of(const std::string& row) {
    return platform::decode_result_item(row);
}

} // namespace

job_store::job_store(store_client& client, logger& log)
    : client_(client)
    , log_(log) {}

void job_store::on_record(const job_id& job, std::optional<job_record> record) {
    if (!record) {
        records_.erase(job);
        return;
    }
    // Job notices and watches may arrive out of order, so an older record must
    // not reopen an ended job.
    const auto known = records_.find(job);
    if (known == records_.end() || !known->second.is_ended) {
        records_[job] = std::move(*record);
    }
}

asio::awaitable<accept_end> job_store::accept(job_record record,
                                              std::string submission,
                                              steady_time deadline) {
    if (records_.contains(record.id)) {
        co_return accept_end::accepted;
    }
    const std::size_t part_bytes = client_.limits().max_value_bytes *
                                   part_share_numerator /
                                   part_share_denominator;
    store_transaction transaction;
    for (std::size_t at = 0; at < submission.size(); at += part_bytes) {
        transaction.writes.push_back(
            {.key = submission_key(record.id, transaction.writes.size()),
             .value = submission.substr(at, part_bytes)});
    }
    if (transaction.writes.size() > max_parts) {
        co_return accept_end::refused;
    }
    record.parts = static_cast<std::uint32_t>(transaction.writes.size());
    transaction.conditions.push_back({.key = job_key(record.id)});
    transaction.writes.push_back(
        {.key = job_key(record.id), .value = encode_job_record(record)});
    bool may_be_stored = false;
    while (true) {
        const auto result = co_await client_.commit(transaction);
        if (result) {
            // A failed condition means that the job is stored already, so it
            // counts as accepted too.
            records_.try_emplace(record.id, record);
            co_return accept_end::accepted;
        }
        may_be_stored =
            may_be_stored || result.reason().code != result_code::store_refused;
        const steady_time now = std::chrono::steady_clock::now();
        if (!may_be_stored && !client_.is_reachable()) {
            co_return accept_end::refused;
        }
        if (now + accept_retry_delay >= deadline) {
            co_return may_be_stored ? accept_end::unknown : accept_end::refused;
        }
        co_await pause(accept_retry_delay);
    }
}

asio::awaitable<outcome<job_record>> job_store::find_record(job_id job) {
    if (const auto found = records_.find(job); found != records_.end()) {
        co_return found->second;
    }
    const auto value = co_await client_.read_key(job_key(job));
    if (!value) {
        co_return value.reason();
    }
    if (!*value) {
        co_return failure{result_code::not_found, "no such job"};
    }
    const stored_value& stored = **value;
    auto record = decode_job_record(stored.key, stored.value);
    if (!record) {
        co_return record.reason();
    }
    records_.try_emplace(job, *record);
    co_return record;
}

void job_store::append_rows(const job_id& job, const stored_value& value) {
    known_results& known = results_[job];
    if (value.key <= known.last_key ||
        value.key != results_key(job, known.rows.size())) {
        return;
    }
    known.last_key = value.key;
    known.bytes += value.value.size();
    result_bytes_ += value.value.size();
    for (std::string& row : split_rows(value.value)) {
        known.rows.push_back(std::move(row));
    }
}

void job_store::evict_old_results() {
    while (result_bytes_ > max_result_bytes && recently_read_.size() > 1) {
        const job_id oldest = recently_read_.front();
        recently_read_.pop_front();
        if (const auto found = results_.find(oldest); found != results_.end()) {
            result_bytes_ -= found->second.bytes;
            results_.erase(found);
        }
    }
}

asio::awaitable<outcome<done>> job_store::read_new_results(job_id job) {
    const auto page = co_await client_.read_range(results_prefix(job),
                                                  results_[job].last_key);
    if (!page) {
        co_return page.reason();
    }
    for (const stored_value& value : page->values) {
        append_rows(job, value);
    }
    results_[job].revision = page->revision;
    recently_read_.remove(job);
    recently_read_.push_back(job);
    evict_old_results();
    co_return done{};
}

result_page job_store::make_page(const job_id& job, std::size_t total,
                                 std::size_t first) const {
    result_page page{.total = total, .next_position = first};
    const auto known = results_.find(job);
    if (known == results_.end()) {
        return page;
    }
    std::size_t bytes = 0;
    for (std::size_t at = first; at < known->second.rows.size(); ++at) {
        bytes += known->second.rows[at].size() + 1;
        if (bytes > max_page_bytes && !page.rows.empty()) {
            break;
        }
        page.rows.push_back(known->second.rows[at]);
    }
    page.next_position = first + page.rows.size();
    return page;
}

asio::awaitable<outcome<result_page>>
job_store::read_results(job_id job, std::size_t first,
                        std::chrono::milliseconds wait) {
    const auto record = co_await find_record(job);
    if (!record) {
        co_return record.reason();
    }
    result_page page = make_page(job, record->total, first);
    if (!page.rows.empty()) {
        co_return page;
    }
    // After a watch that returned rows, the next watch continues without a
    // read. In all other cases the rows are read first, because a watch that
    // returned none may have missed some.
    const bool can_watch = wait.count() > 0 && results_[job].can_resume_watch;
    if (!can_watch) {
        if (const auto read = co_await read_new_results(job); !read) {
            co_return read.reason();
        }
        page = make_page(job, record->total, first);
    }
    const bool can_grow = page.rows.empty() &&
                          results_[job].rows.size() < record->total &&
                          !record->is_ended;
    if (!can_grow || wait.count() == 0) {
        co_return page;
    }
    results_[job].can_resume_watch = false;
    const auto changes = co_await client_.watch(results_prefix(job),
                                                results_[job].revision, wait);
    if (!changes) {
        if (const auto read = co_await read_new_results(job); !read) {
            co_return read.reason();
        }
        co_return make_page(job, record->total, first);
    }
    for (const store_change& change : changes->changes) {
        append_rows(job, change.value);
    }
    known_results& known = results_[job];
    known.revision = std::max(known.revision, changes->revision);
    known.can_resume_watch = !changes->changes.empty();
    co_return make_page(job, record->total, first);
}

asio::awaitable<outcome<std::shared_ptr<const batch_job>>>
job_store::read_submission(job_record record) {
    for (const auto& cached : cached_submissions_) {
        if (cached->id == record.id) {
            co_return cached;
        }
    }
    const auto page = co_await client_.read_range(submission_prefix(record.id));
    if (!page) {
        co_return page.reason();
    }
    if (page->values.size() != record.parts) {
        co_return failure{result_code::bad_frame,
                          "parts of the submission are missing"};
    }
    std::string submission;
    for (const stored_value& value : page->values) {
        submission += value.value;
    }
    auto job = platform::decode_submission(record.id, record.host, submission);
    if (!job) {
        log_.write(log_event::job_unreadable, "job=" + record.id.text() +
                                                  " reason=\"" +
                                                  job.reason().detail + '"');
        co_return job.reason();
    }
    auto shared = std::make_shared<const batch_job>(std::move(*job));
    cached_submissions_.push_back(shared);
    if (cached_submissions_.size() > max_cached_submissions) {
        cached_submissions_.pop_front();
    }
    co_return shared;
}

asio::awaitable<outcome<std::string>> job_store::read_item(job_id job,
                                                           item_id item) {
    const auto record = co_await find_record(job);
    if (!record) {
        co_return record.reason();
    }
    const auto submission = co_await read_submission(*record);
    if (!submission) {
        co_return submission.reason();
    }
    for (const batch_item& candidate : (*submission)->items) {
        if (candidate.id == item) {
            co_return candidate.body;
        }
    }
    co_return failure{result_code::not_found, "no such item"};
}

asio::awaitable<outcome<done>> job_store::end(job_id job) {
    failure last{result_code::store_unanswered, "not tried"};
    for (int tries = 0; tries < max_end_tries; ++tries) {
        const auto value = co_await client_.read_key(job_key(job));
        if (!value) {
            last = value.reason();
            continue;
        }
        if (!*value) {
            co_return failure{result_code::not_found, "no such job"};
        }
        const stored_value& stored = **value;
        auto record = decode_job_record(stored.key, stored.value);
        if (!record) {
            co_return record.reason();
        }
        if (record->is_ended) {
            on_record(job, std::move(*record));
            co_return done{};
        }
        record->is_ended = true;
        store_transaction transaction = make_write(
            {.key = stored.key, .revision = stored.modified},
            {.key = stored.key, .value = encode_job_record(*record)});
        const auto result = co_await client_.commit(std::move(transaction));
        if (!result) {
            last = result.reason();
            continue;
        }
        if (std::holds_alternative<transaction_done>(*result)) {
            on_record(job, std::move(*record));
            co_return done{};
        }
    }
    co_return last;
}

asio::awaitable<outcome<loaded_job>> job_store::load(job_record record) {
    auto submission = co_await read_submission(record);
    if (!submission) {
        co_return submission.reason();
    }
    if (const auto read = co_await read_new_results(record.id); !read) {
        co_return read.reason();
    }
    loaded_job loaded{.job = std::move(*submission)};
    for (const std::string& row : results_[record.id].rows) {
        loaded.listed.push_back(item_of(row));
    }
    co_return loaded;
}

asio::awaitable<std::map<std::size_t, item_progress>>
job_store::load_progress(job_id job) {
    std::map<std::size_t, item_progress> texts;
    const auto page = co_await client_.read_range(progress_prefix(job));
    if (!page) {
        log_.write(log_event::store_call_failed,
                   "call=range prefix=" + progress_prefix(job) + " reason=\"" +
                       page.reason().detail + '"');
        co_return texts;
    }
    for (const stored_value& value : page->values) {
        const auto parts =
            wire::decode<std::vector<saved_progress>>(value.value);
        if (!parts) {
            log_.write(log_event::job_unreadable,
                       "key=" + value.key + " reason=\"" +
                           parts.reason().detail + '"');
            continue;
        }
        for (const saved_progress& part : *parts) {
            merge_saved_part(texts[part.item], part);
        }
    }
    co_return texts;
}

asio::awaitable<void> job_store::save_progress(held_term term,
                                               struct save_progress progress) {
    const std::string key =
        progress_key(progress.job, term.revision, save_count_++);
    store_transaction transaction =
        make_write({.key = term.key, .revision = term.revision},
                   {.key = key, .value = wire::encode(progress.parts)});
    const auto written = co_await client_.commit(std::move(transaction));
    if (!written) {
        log_.write(log_event::store_call_failed,
                   "call=save key=" + key + " reason=\"" +
                       written.reason().detail + '"');
    }
}

asio::awaitable<commit_end> job_store::commit(held_term term,
                                              commit_results results) {
    std::vector<std::string> rows;
    for (const item_result& result : results.results) {
        rows.push_back(platform::encode_result(result));
    }
    const std::string key = results_key(results.job, results.first_position);
    const std::string text = join_rows(rows);
    store_transaction transaction =
        make_write({.key = key}, {.key = key, .value = text});
    transaction.conditions.push_back(
        {.key = term.key, .revision = term.revision});
    const auto written = co_await client_.commit(std::move(transaction));
    if (!written) {
        co_return commit_end::not_listed;
    }
    if (std::holds_alternative<transaction_done>(*written)) {
        append_rows(results.job, {.key = key, .value = text});
        co_return commit_end::listed;
    }
    // An earlier attempt at the same write may have taken effect late.
    const auto present = co_await client_.read_key(key);
    if (!present) {
        co_return commit_end::not_listed;
    }
    if (*present && (*present)->value == text) {
        append_rows(results.job, {.key = key, .value = text});
        co_return commit_end::listed;
    }
    const auto& current = std::get<transaction_conflict>(*written).current;
    const bool is_held = std::any_of(
        current.begin(), current.end(), [&](const stored_value& value) {
            return value.key == term.key && value.modified == term.revision;
        });
    co_return is_held ? commit_end::superseded : commit_end::term_lost;
}

} // namespace savorydock
