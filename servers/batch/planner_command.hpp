#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "servers/batch/batch_job.hpp"
#include "servers/batch/job_order.hpp"

#include <boost/describe/class.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace savorydock {

/// Identifies one run or one scoring of an item. Never reused.
using run_ticket = std::uint64_t;

/// Where a text comes from. Texts of different origins must not be joined.
struct text_origin {
    /// Engines of other software can't continue the text. Empty if not known,
    /// then none can.
    software_version software;
    /// The run that generated the first event.
    run_ticket first_run = 0;

    bool operator==(const text_origin&) const = default;
};
BOOST_DESCRIBE_STRUCT(text_origin, (), (software, first_run))

/// The text that was generated so far for an item, and the weight versions
/// that generated it.
struct item_progress {
    std::string text;
    /// Number of stream events in the text. A run that resumes the text
    /// requests the next event from the engine.
    std::uint64_t events = 0;
    std::vector<weight_version> versions;
    text_origin origin;
};

/// How the run of an item ended.
enum class run_end : std::uint8_t {
    /// The text is complete.
    complete,
    /// The stream broke. Another run may resume after the events received.
    interrupted,
    /// The engine reported that it didn't start the item, as if full.
    not_run,
    /// The engine failed while it processed the item.
    failed,
    /// The engine rejected the request; a retry can't succeed.
    invalid_item,
    /// The engine has a weight version that the job doesn't allow.
    wrong_version,
    /// The planner stopped the run.
    stopped,
    /// The engine sent more than the item's text may have. The whole text is
    /// discarded, because where its excess begins is not known.
    oversized,
    /// The engine didn't start the item for another reason than its room: it
    /// leaves, limits its requests or is another one than expected. Planners of
    /// earlier builds take it for `interrupted`.
    unavailable,
};

/// Events of a run since its last report.
struct run_delta {
    run_ticket ticket = 0;
    /// Number of events of the item before this delta, and including it.
    std::uint64_t base_events = 0;
    std::uint64_t events = 0;
    /// The data of the new events, separated by line feeds.
    std::string text;
    /// Weight versions that generated the events, in order.
    std::vector<weight_version> versions;
};
BOOST_DESCRIBE_STRUCT(run_delta, (),
                      (ticket, base_events, events, text, versions))

/// A run or scoring that an instance reports to a new planner: either still in
/// progress for a planner of an earlier term, or completed without a
/// confirmation that its result is listed.
struct held_run {
    run_ticket ticket = 0;
    job_id job;
    /// Id of the item, or of its scoring call.
    std::string id;
    bool is_scoring = false;
    bool has_ended = false;
    upstream_id upstream;
    /// The text from the first event on, as far as it was received.
    std::uint64_t events = 0;
    std::string text;
    std::vector<weight_version> versions;
    /// The score, if this is a scoring that ended.
    std::string score;
    /// If this is a scoring: the run that generated the text; 0 if not known.
    run_ticket text_ticket = 0;
    text_origin origin;
};
BOOST_DESCRIBE_STRUCT(held_run, (),
                      (ticket, job, id, is_scoring, has_ended, upstream, events,
                       text, versions, score, text_ticket, origin))

struct run_report {
    run_ticket ticket = 0;
    run_end end = run_end::interrupted;
    run_delta last_delta;
};
BOOST_DESCRIBE_STRUCT(run_report, (), (ticket, end, last_delta))

/// Result of the scoring of a sample.
struct score_report {
    run_ticket ticket = 0;
    /// Absent if the scorer failed as often as the route allows.
    std::optional<std::string> score;
};

/// Result of a commit, which appends results to the job's list in the store.
enum class commit_end : std::uint8_t {
    listed,
    /// The store didn't accept the write; it may be retried.
    not_listed,
    /// Another instance has already listed results at that position.
    superseded,
    /// This instance no longer holds the service's term.
    term_lost,
};

struct start_run {
    run_ticket ticket = 0;
    std::shared_ptr<const batch_job> job;
    std::size_t item = 0;
    upstream_id upstream;
    endpoint address;
    weight_version min_version = 0;
    bool is_single_version = false;
    /// The text received so far; the run resumes after it.
    item_progress progress;
    /// Most events that the item's whole text may have; 0 if not known.
    std::uint64_t max_events = 0;
};

struct stop_run {
    run_ticket ticket = 0;
    /// The run made no progress for too long.
    bool is_stalled = false;
    /// Instances report no end of a scoring that they were told to stop.
    bool is_scoring = false;
    upstream_id upstream;
};

/// The result is listed, so the instance that buffers it may drop it.
struct release_run {
    run_ticket ticket = 0;
};

struct start_scoring {
    run_ticket ticket = 0;
    std::shared_ptr<const batch_job> job;
    std::size_t item = 0;
    /// Run that generated the text; 0 if not known to this planner.
    run_ticket text_ticket = 0;
};

struct commit_results {
    job_id job;
    /// Distinguishes this attempt from other commits of the same job.
    std::uint64_t number = 0;
    std::size_t first_position = 0;
    std::vector<item_result> results;
    /// With these results, all results of the job are listed.
    bool is_last = false;
};

/// A part of an item's text, stored so that the next planner can resume it.
struct saved_progress {
    std::size_t item = 0;
    std::uint64_t base_events = 0;
    std::uint64_t events = 0;
    std::string text;
    std::vector<weight_version> versions;
    text_origin origin;
    /// Runs of the item that failed so far, by all planners.
    std::uint32_t failures = 0;
};
BOOST_DESCRIBE_STRUCT(saved_progress, (),
                      (item, base_events, events, text, versions, origin,
                       failures))

struct save_progress {
    job_id job;
    std::vector<saved_progress> parts;
};

/// An item starts from its first event again, because no engine can continue
/// its text in time. For the log.
struct discard_text {
    job_id job;
    item_id item;
    text_origin origin;
    std::uint64_t events = 0;
};

/// An engine refused an item. For the log.
struct item_refusal {
    job_id job;
    item_id item;
    upstream_id upstream;
    /// Cache tokens that the item was expected to fill, and the capacity of one
    /// engine; 0 if not known.
    std::uint64_t cache_tokens = 0;
    std::uint64_t capacity = 0;
    /// Other planned runs on the engine, and the cache tokens that they are
    /// expected to fill.
    std::size_t other_runs = 0;
    std::uint64_t other_cache_tokens = 0;
    /// How long the engine gets no new items of such a size; 0 if the refusal
    /// is taken for the item's fault.
    std::chrono::milliseconds engine_pause{0};
    /// Consecutive refusals of the item.
    std::uint32_t item_refusals = 0;
    /// Several engines refused items of the job, and none has accepted one
    /// since.
    bool is_job_on_probation = false;
};

/// Waiting items of the job were put on probation, or none is any more. For the
/// log.
struct probation_change {
    job_id job;
    /// Waiting items on probation, and the others.
    std::size_t on_probation = 0;
    std::size_t waiting = 0;
    /// Capacity of one engine in cache tokens; 0 if not known.
    std::uint64_t capacity = 0;
};

/// An engine gets no new items that would keep this one from starting. For the
/// log.
struct reserve_engine {
    job_id job;
    item_id item;
    upstream_id upstream;
    std::uint64_t cache_tokens = 0;
};

/// An instance reports runs and scorings that the planner doesn't know. It must
/// stop them.
struct unknown_runs {
    instance_id runner;
    std::vector<run_ticket> tickets;
};

using planner_command =
    std::variant<start_run, stop_run, release_run, start_scoring,
                 commit_results, save_progress, discard_text, item_refusal,
                 probation_change, reserve_engine, unknown_runs, order_change>;
using planner_commands = std::vector<planner_command>;

} // namespace savorydock
