#pragma once

#include "core/outcome.hpp"
#include "servers/batch/batch_job.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// The service's own keys in the platform's store.
///
/// c/job/JOB          the job's record; small, mirrored by all instances
/// c/term/SERVICE     the planner of an engine service, with its lease
/// d/JOB/PART         the submission as it came, in parts
/// p/JOB/TERM-NUMBER  parts of texts of unfinished items
/// r/JOB/POSITION     results from that position on, one encoded row a line
///
/// All functions are thread safe.
/// @{
inline constexpr std::string_view control_prefix = "c/";
inline constexpr std::string_view job_prefix = "c/job/";
inline constexpr std::string_view term_prefix = "c/term/";
/// The terms of the zones' feeders.
inline constexpr std::string_view feed_term_prefix = "c/term/~feed/";

[[nodiscard]] std::string job_key(const job_id& job);
[[nodiscard]] std::string term_key(const service_name& service);
[[nodiscard]] std::string submission_prefix(const job_id& job);
[[nodiscard]] std::string submission_key(const job_id& job, std::size_t part);
[[nodiscard]] std::string results_prefix(const job_id& job);
[[nodiscard]] std::string results_key(const job_id& job, std::size_t position);

[[nodiscard]] std::string progress_prefix(const job_id& job);
[[nodiscard]] std::string progress_key(const job_id& job, store_revision term,
                                       std::size_t number);

[[nodiscard]] std::string encode_job_record(const job_record& record);
/// Errors: `invalid_document`.
[[nodiscard]] outcome<job_record> decode_job_record(std::string_view key,
                                                    std::string_view text);

/// Rows are encoded results without line feeds.
[[nodiscard]] std::string join_rows(const std::vector<std::string>& rows);
[[nodiscard]] std::vector<std::string> split_rows(std::string_view text);
/// @}

} // namespace savorydock
