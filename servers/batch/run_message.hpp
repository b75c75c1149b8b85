#pragma once

#include "servers/batch/item_planner.hpp"

#include <boost/describe/class.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace savorydock {

/// One header of an item's request.
struct run_header {
    std::string name;
    std::string value;
};
BOOST_DESCRIBE_STRUCT(run_header, (), (name, value))

/// Everything that an instance needs to run an item on an engine or to score
/// it.
struct run_task {
    run_ticket ticket = 0;
    bool is_scoring = false;
    job_id job;
    /// Id of the item, or of its scoring call.
    std::string id;
    std::string host;
    std::string path;
    std::vector<run_header> headers;
    std::string body;
    upstream_id upstream;
    /// Address of the upstream as text.
    std::string address;
    weight_version min_version = 0;
    bool is_single_version = false;
    /// Number of events received so far, with their text and weight versions
    /// below; the run resumes after them.
    std::uint64_t after_event = 0;
    std::string text;
    std::vector<weight_version> versions;
    /// Of a scoring: the run that generated the text; 0 if not known.
    run_ticket text_ticket = 0;
    /// Of the text so far, or of the text that this run begins.
    text_origin origin;
    /// Most events that the item's whole text may have; 0 if not known.
    std::uint64_t max_events = 0;
    /// The organisation of the job; empty if it has none.
    organisation_id organisation;
};
BOOST_DESCRIBE_STRUCT(run_task, (),
                      (ticket, is_scoring, job, id, host, path, headers, body,
                       upstream, address, min_version, is_single_version,
                       after_event, text, versions, text_ticket, origin,
                       max_events, organisation))

/// Message from the planner of a service to an instance that runs its items.
/// Without tasks or tickets it serves as a heartbeat of the planner.
struct runner_command {
    service_name service;
    /// Runs and scorings to start.
    std::vector<run_task> tasks;
    /// Runs and scorings to stop.
    std::vector<run_ticket> stopped;
    /// The planner's term. The receiver ignores commands of an older term than
    /// the latest it knows.
    store_revision term = 0;
    /// The planner is new and the instance must report all runs that it holds.
    bool is_takeover = false;
    /// Runs and scorings whose results are listed; the instance may drop them.
    std::vector<run_ticket> released;
    /// The receiver was taken for lost and must report that it is there.
    bool is_probe = false;
};
BOOST_DESCRIBE_STRUCT(runner_command, (),
                      (service, tasks, stopped, term, is_takeover, released,
                       is_probe))

/// Notifies the planner of a service that a job was accepted or ended. The
/// planner's feeder would deliver the change some hundred milliseconds later.
struct job_notice {
    job_id job;
    /// The job record as encoded in the store.
    std::string record;
};
BOOST_DESCRIBE_STRUCT(job_notice, (), (job, record))

/// Result of a scoring.
struct score_message {
    run_ticket ticket = 0;
    /// False if the scorer failed as often as the route allows.
    bool has_score = false;
    std::string score;
};
BOOST_DESCRIBE_STRUCT(score_message, (), (ticket, has_score, score))

/// Units of `observed_limit::limit` in one request per second.
inline constexpr double limit_unit = 1'000;

/// What the latest answer of an upstream said about the request rate that it
/// accepts.
struct observed_limit {
    upstream_id upstream;
    bool has_limit = false;
    std::uint64_t limit = 0;
    /// Time since the answer.
    std::chrono::milliseconds age{0};
};
BOOST_DESCRIBE_STRUCT(observed_limit, (), (upstream, has_limit, limit, age))

/// Message from an instance that runs items to the planner of their service.
struct runner_update {
    service_name service;
    std::vector<run_delta> deltas;
    std::vector<run_report> ends;
    std::vector<score_message> scores;
    /// All runs and scorings that the instance has in progress for the planner.
    std::vector<run_ticket> active;
    /// If not 0, this message answers the takeover in that term, and `held`
    /// lists all runs that the instance holds.
    store_revision takeover_term = 0;
    std::vector<held_run> held;
    /// Limits that the service's upstreams named or lifted lately.
    std::vector<observed_limit> limits;
    /// Upstreams that told the instance that they leave.
    std::vector<upstream_id> leaving;
    /// Jobs that have ended and whose items the instance therefore refused.
    std::vector<job_id> ended_jobs;
    /// Another part of this message follows; `held` isn't complete yet.
    bool has_more = false;
};
BOOST_DESCRIBE_STRUCT(runner_update, (),
                      (service, deltas, ends, scores, active, takeover_term,
                       held, limits, leaving, ended_jobs, has_more))

} // namespace savorydock
