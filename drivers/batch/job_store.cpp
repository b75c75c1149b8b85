#include "drivers/batch/job_store.hpp"

#include "core/utf8.hpp"
#include "core/wire_codec.hpp"
#include "platform/batch_codec.hpp"
#include "platform/store_codec.hpp"
#include "servers/batch/job_keys.hpp"
#include "servers/platform/call_effect.hpp"

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
constexpr std::size_t max_cached_submissions = 6;
/// Limits of a write that saves texts of several jobs.
constexpr std::size_t max_saves_per_write = 24;
constexpr std::size_t max_saved_bytes_per_write = 1U << 20U;
constexpr std::chrono::milliseconds accept_retry_delay{60};
constexpr int max_end_tries = 4;

asio::awaitable<void> pause(std::chrono::milliseconds time) {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Appends a saved part to a text of the same origin, or replaces the text if
/// the part begins with the first event and has more events. Ignores a part
/// whose predecessor was not saved or that can't be listed as a result: the
/// previous build saves any bytes.
void merge_saved_part(item_progress& text, const saved_progress& part) {
    if (!is_utf8(part.text)) {
        return;
    }
    if (part.base_events == 0 && part.events > text.events) {
        text = {.text = part.text,
                .events = part.events,
                .versions = part.versions,
                .origin = part.origin};
        return;
    }
    if (part.base_events != text.events || part.base_events == 0 ||
        part.origin != text.origin) {
        return;
    }
    text.text += '\n' + part.text;
    text.events = part.events;
    text.versions = part.versions;
}

/// How a submission ends whose job has a record already.
accept_end end_of_repetition(const job_record& stored,
                             const job_record& submitted) {
    const bool is_foreign = !stored.organisation.is_empty() &&
                            !submitted.organisation.is_empty() &&
                            stored.organisation != submitted.organisation;
    return is_foreign ? accept_end::foreign : accept_end::accepted;
}

/// Returns the record because of which a transaction failed, if one was found.
std::optional<job_record> stored_record(const transaction_result& result) {
    const auto* const conflict = std::get_if<transaction_conflict>(&result);
    if (conflict == nullptr) {
        return std::nullopt;
    }
    for (const stored_value& value : conflict->current) {
        if (auto record = decode_job_record(value.key, value.value)) {
            return *record;
        }
    }
    return std::nullopt;
}

} // namespace

job_store::job_store(store_client& client, logger& log,
                     std::size_t max_result_bytes)
    : client_(client)
    , log_(log)
    , results_(client, log, max_result_bytes) {}

void job_store::on_record(const job_id& job, std::optional<job_record> record) {
    if (!record) {
        records_.erase(job);
        return;
    }
    // Job notices and watches may arrive out of order, so an older record must
    // not reopen an ended job.
    const auto known = records_.find(job);
    if (known == records_.end()) {
        records_.emplace(job, std::move(*record));
    } else if (!known->second.is_ended) {
        // The previous build drops the organisation when it ends a job.
        if (record->organisation.is_empty()) {
            record->organisation = known->second.organisation;
        }
        if (record->is_ended) {
            log_.write(log_event::job_end_received,
                       "job=" + job.text() + " source=record");
        }
        known->second = std::move(*record);
    }
}

bool job_store::on_end_reported(const job_id& job) {
    const auto known = records_.find(job);
    if (known == records_.end() || known->second.is_ended) {
        return false;
    }
    known->second.is_ended = true;
    log_.write(log_event::job_end_received,
               "job=" + job.text() + " source=runner");
    return true;
}

std::size_t job_store::max_part_bytes() const {
    return client_.limits().max_value_bytes * part_share_numerator /
           part_share_denominator;
}

bool job_store::is_storable(std::size_t submission_bytes) const {
    return submission_bytes <= max_parts * max_part_bytes();
}

asio::awaitable<accept_end> job_store::accept(job_record record,
                                              std::string submission,
                                              steady_time deadline) {
    if (const auto known = records_.find(record.id); known != records_.end()) {
        co_return end_of_repetition(known->second, record);
    }
    if (!is_storable(submission.size())) {
        co_return accept_end::refused;
    }
    const std::size_t part_bytes = max_part_bytes();
    store_transaction transaction;
    for (std::size_t at = 0; at < submission.size(); at += part_bytes) {
        transaction.writes.push_back(
            {.key = submission_key(record.id, transaction.writes.size()),
             .value = submission.substr(at, part_bytes)});
    }
    std::string().swap(submission);
    record.parts = static_cast<std::uint32_t>(transaction.writes.size());
    transaction.conditions.push_back({.key = job_key(record.id)});
    transaction.writes.push_back(
        {.key = job_key(record.id), .value = encode_job_record(record)});
    // Encoded once for all tries. Only the encoded text is kept while the store
    // is awaited.
    const http_request request = platform::make_transaction(transaction);
    transaction = {};
    call_effect effect = call_effect::none;
    while (true) {
        const auto result = co_await client_.commit_encoded(request);
        if (result) {
            // A failed condition means that the job is stored already, so it
            // counts as accepted too, unless another organisation stored it.
            const job_record stored = stored_record(*result).value_or(record);
            records_.try_emplace(record.id, stored);
            co_return end_of_repetition(stored, record);
        }
        effect =
            combine(effect, result.reason().code == result_code::store_refused
                                ? call_effect::none
                                : call_effect::possible);
        const bool may_be_stored = effect != call_effect::none;
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

asio::awaitable<outcome<result_page>>
job_store::read_results(job_id job, std::size_t first,
                        std::chrono::milliseconds wait) {
    auto record = co_await find_record(std::move(job));
    if (!record) {
        co_return record.reason();
    }
    co_return co_await results_.read(std::move(*record), first, wait);
}

asio::awaitable<std::optional<std::vector<std::string>>>
job_store::read_own_results(job_id job, std::size_t first,
                            std::chrono::milliseconds wait,
                            std::function<store_revision()> term) {
    const auto found = records_.find(job);
    std::optional<job_record> record;
    if (found != records_.end()) {
        record = found->second;
    }
    std::function<bool()> knows_all = [this, job, term = std::move(term)] {
        const store_revision held = term();
        return results_.is_complete(job, held) &&
               !open_commits_.has_open(job, held,
                                       std::chrono::steady_clock::now());
    };
    return results_.read_own(std::move(job), std::move(record), first, wait,
                             std::move(knows_all));
}

asio::awaitable<outcome<std::shared_ptr<const batch_job>>>
job_store::read_submission(job_record record) {
    for (const auto& cached : cached_submissions_) {
        if (cached->id == record.id) {
            co_return cached;
        }
    }
    auto page = co_await client_.read_range(submission_prefix(record.id));
    if (!page) {
        co_return page.reason();
    }
    if (page->values.size() != record.parts || page->unreadable > 0) {
        co_return failure{result_code::bad_frame,
                          "parts of the submission are missing"};
    }
    std::string submission;
    for (stored_value& value : page->values) {
        submission += value.value;
        std::string().swap(value.value);
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

asio::awaitable<outcome<loaded_job>> job_store::load(job_record record,
                                                     store_revision term) {
    auto submission = co_await read_submission(record);
    if (!submission) {
        co_return submission.reason();
    }
    if (const auto read = co_await results_.refresh(record.id); !read) {
        co_return read.reason();
    }
    listed_rows& listed = results_.rows(record.id);
    listed.on_read_complete(term);
    open_commits_.on_positions_taken(record.id, listed.size());
    loaded_job loaded{.job = std::move(*submission)};
    for (const std::string& row : listed.rows()) {
        auto item = platform::decode_result_item(row);
        if (!item) {
            // Its item would be taken for unlisted and listed once more.
            log_.write(log_event::job_unreadable,
                       "job=" + record.id.text() +
                           " position=" + std::to_string(loaded.listed.size()) +
                           " reason=\"" + item.reason().detail + '"');
            co_return item.reason();
        }
        loaded.listed.push_back(std::move(*item));
    }
    co_return loaded;
}

asio::awaitable<saved_items> job_store::load_progress(job_id job) {
    saved_items saved;
    const auto page = co_await client_.read_range(progress_prefix(job));
    if (!page) {
        log_.write(log_event::store_call_failed,
                   "call=range prefix=" + progress_prefix(job) + " reason=\"" +
                       page.reason().detail + '"');
        co_return saved;
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
            if (part.events > 0) {
                merge_saved_part(saved.texts[part.item], part);
            }
            if (part.failures > 0) {
                std::uint32_t& failures = saved.failures[part.item];
                failures = std::max(failures, part.failures);
            }
        }
    }
    co_return saved;
}

asio::awaitable<void>
job_store::save_progress(held_term term,
                         std::vector<struct save_progress> texts) {
    std::vector<stored_value> values;
    std::size_t bytes = 0;
    for (const struct save_progress& text : texts) {
        stored_value value{
            .key = progress_key(text.job, term.revision, save_count_++),
            .value = wire::encode(text.parts)};
        if (values.size() == max_saves_per_write ||
            (!values.empty() &&
             bytes + value.value.size() > max_saved_bytes_per_write)) {
            co_await save_texts(term, std::move(values));
            values = {};
            bytes = 0;
        }
        bytes += value.value.size();
        values.push_back(std::move(value));
    }
    if (!values.empty()) {
        co_await save_texts(term, std::move(values));
    }
}

asio::awaitable<void> job_store::save_texts(held_term term,
                                            std::vector<stored_value> texts) {
    const std::string first_key = texts.front().key;
    store_transaction transaction;
    transaction.conditions.push_back(
        {.key = term.key, .revision = term.revision});
    for (stored_value& text : texts) {
        transaction.writes.push_back(
            {.key = std::move(text.key), .value = std::move(text.value)});
    }
    const auto written = co_await client_.commit(std::move(transaction));
    if (!written) {
        log_.write(log_event::store_call_failed,
                   "call=save key=" + first_key +
                       " keys=" + std::to_string(texts.size()) + " reason=\"" +
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
    const std::uint64_t number = open_commits_.on_sent(
        results.job, term.revision, results.first_position,
        std::chrono::steady_clock::now());
    const auto written = co_await client_.commit(std::move(transaction));
    if (!written) {
        open_commits_.on_failed(results.job, number,
                                written.reason().code !=
                                    result_code::store_refused);
        co_return commit_end::not_listed;
    }
    bool is_listed = std::holds_alternative<transaction_done>(*written);
    if (!is_listed) {
        // An earlier attempt at the same write may have taken effect late.
        const auto present = co_await client_.read_key(key);
        if (!present) {
            open_commits_.on_failed(results.job, number, true);
            co_return commit_end::not_listed;
        }
        is_listed = *present && (*present)->value == text;
    }
    if (is_listed) {
        const std::size_t end = results.first_position + rows.size();
        results_.append(results.job, results.first_position, std::move(rows));
        if (results_.rows(results.job).has_gap_before(end)) {
            // The rows before were evicted. A read of the store that is under
            // way may have missed these.
            open_commits_.on_failed(results.job, number, true);
        } else {
            open_commits_.on_listed(results.job, number);
        }
        co_return commit_end::listed;
    }
    // What is listed there is known only after the job has been read again.
    open_commits_.on_failed(results.job, number, true);
    const auto& current = std::get<transaction_conflict>(*written).current;
    const bool is_held = std::any_of(
        current.begin(), current.end(), [&](const stored_value& value) {
            return value.key == term.key && value.modified == term.revision;
        });
    co_return is_held ? commit_end::superseded : commit_end::term_lost;
}

} // namespace savorydock
