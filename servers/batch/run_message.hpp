#pragma once

#include "servers/batch/item_planner.hpp"

#include <boost/describe/class.hpp>

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

/// All that an instance needs to run an item on an engine, or to score it.
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
    /// What there is of the text; the run goes on behind it.
    std::uint64_t after_event = 0;
    std::string text;
    std::vector<weight_version> versions;
};
BOOST_DESCRIBE_STRUCT(run_task, (),
                      (ticket, is_scoring, job, id, host, path, headers, body,
                       upstream, address, min_version, is_single_version,
                       after_event, text, versions))

/// From the planner of a service to an instance that runs its items. Without
/// any task or ticket it says that the planner lives.
struct run_order {
    service_name service;
    std::vector<run_task> tasks;
    std::vector<run_ticket> stopped;
    /// The planner's term; orders of an older one than known are void.
    store_revision term = 0;
    /// The planner is new: it wants to know all that the instance holds.
    bool is_takeover = false;
    /// Results that are listed and need not be kept any longer.
    std::vector<run_ticket> released;
};
BOOST_DESCRIBE_STRUCT(run_order, (),
                      (service, tasks, stopped, term, is_takeover, released))

/// A job was accepted or ended: told to the planner of its service at once,
/// which otherwise hears of it from its feeder some hundred milliseconds later.
struct job_notice {
    job_id job;
    /// The job's record as the store has it.
    std::string record;
};
BOOST_DESCRIBE_STRUCT(job_notice, (), (job, record))

/// How a scoring ended.
struct score_news {
    run_ticket ticket = 0;
    bool has_score = false;
    std::string score;
};
BOOST_DESCRIBE_STRUCT(score_news, (), (ticket, has_score, score))

/// From an instance that runs items to the planner of their service.
struct run_news {
    service_name service;
    std::vector<run_delta> deltas;
    std::vector<run_report> ends;
    std::vector<score_news> scores;
    /// All runs and scorings that the instance has for the planner.
    std::vector<run_ticket> active;
    /// The answer to a takeover of that term.
    store_revision takeover_term = 0;
    std::vector<held_run> held;
};
BOOST_DESCRIBE_STRUCT(run_news, (),
                      (service, deltas, ends, scores, active, takeover_term,
                       held))

} // namespace savorydock
