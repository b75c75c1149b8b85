#pragma once

#include "core/outcome.hpp"
#include "servers/batch/batch_job.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// Keys of savorydock's own data in the platform's store:
///
/// c/job/JOB          job record; small, mirrored by all instances
/// c/term/SERVICE     planner of an engine service, with its lease
/// t/SCOPE            value of the scope's last settled term key
/// d/JOB/PART         submission as received, split into parts
/// p/JOB/TERM-NUMBER  saved parts of the texts of unfinished items
/// r/JOB/POSITION     results from this position on, one encoded row per line
///
/// Keys of callers' streams are in `servers/streams/stream_keys.hpp`, those of
/// usage reports in `servers/duties/usage_ledger.hpp`.
///
/// All functions are thread safe.
/// @{
inline constexpr std::string_view control_prefix = "c/";
inline constexpr std::string_view job_prefix = "c/job/";
inline constexpr std::string_view term_prefix = "c/term/";
/// Prefix of the term keys of the zones' feeders.
inline constexpr std::string_view feed_term_prefix = "c/term/~feed/";

[[nodiscard]] std::string job_key(const job_id& job);
[[nodiscard]] std::string term_key(const service_name& service);
/// The key that names the last settled term of a scope; not mirrored.
[[nodiscard]] std::string settled_term_key(std::string_view scope);
[[nodiscard]] std::string submission_prefix(const job_id& job);
[[nodiscard]] std::string submission_key(const job_id& job, std::size_t part);
[[nodiscard]] std::string results_prefix(const job_id& job);
[[nodiscard]] std::string results_key(const job_id& job, std::size_t position);

/// Returns the position that a results key of the job names; nothing for other
/// keys.
[[nodiscard]] std::optional<std::size_t> results_position(const job_id& job,
                                                          std::string_view key);

[[nodiscard]] std::string progress_prefix(const job_id& job);
[[nodiscard]] std::string progress_key(const job_id& job, store_revision term,
                                       std::size_t number);

[[nodiscard]] std::string encode_job_record(const job_record& record);
/// Errors: `invalid_document`.
[[nodiscard]] outcome<job_record> decode_job_record(std::string_view key,
                                                    std::string_view text);

/// Join or split the value of a results key. Rows are encoded results and
/// contain no line feeds.
[[nodiscard]] std::string join_rows(const std::vector<std::string>& rows);
[[nodiscard]] std::vector<std::string> split_rows(std::string_view text);
/// @}

} // namespace savorydock
