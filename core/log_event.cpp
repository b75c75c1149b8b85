#include "core/log_event.hpp"

#include <algorithm>
#include <array>

namespace savorydock {

namespace {

using enum log_event;
using enum log_level;

constexpr std::array entries{
    log_event_entry{instance_started, info, "instance_started",
                    "the instance has started to serve"},
    log_event_entry{instance_stopped, info, "instance_stopped",
                    "the instance has stopped"},
    log_event_entry{drain_started, info, "drain_started",
                    "the instance is draining and accepts no new work"},
    log_event_entry{drain_finished, info, "drain_finished",
                    "all requests of the draining instance have ended"},
    log_event_entry{settings_invalid, error, "settings_invalid",
                    "the settings file is invalid"},
    log_event_entry{listener_failed, error, "listener_failed",
                    "the instance could not listen on an address"},
    log_event_entry{caller_limited, warning, "caller_limited",
                    "a caller's request was refused, or its connection closed, "
                    "because of a limit; at most one line a second"},
    log_event_entry{request_finished, debug, "request_finished",
                    "a request ended; the detail has its result code"},
    log_event_entry{request_refused, info, "request_refused",
                    "a request was refused before it ran"},
    log_event_entry{request_retried, info, "request_retried",
                    "a request is retried on another upstream"},
    log_event_entry{request_resumed, info, "request_resumed",
                    "a stream is resumed on another upstream"},
    log_event_entry{request_suspected, warning, "request_suspected",
                    "an upstream was lost while it ran the request; several "
                    "such losses block the request"},
    log_event_entry{request_cleared, info, "request_cleared",
                    "a suspect request was answered, or an operator "
                    "released it"},
    log_event_entry{request_outcome_unknown, warning, "request_outcome_unknown",
                    "a caller was told that its request may have run"},
    log_event_entry{stream_sent, info, "stream_sent",
                    "a stream was requested from an upstream, from its first "
                    "event or after a given one"},
    log_event_entry{stream_ended, info, "stream_ended",
                    "a caller's stream ended; the detail says how"},
    log_event_entry{stream_default_changed, info, "stream_default_changed",
                    "streams of a route without a record are taken to be of "
                    "another software version"},
    log_event_entry{attempt_failed, info, "attempt_failed",
                    "an upstream didn't answer an attempt; the detail says how "
                    "far it came and on which connection"},
    log_event_entry{step_started, info, "step_started",
                    "a session for a trainer's step began"},
    log_event_entry{step_finished, info, "step_finished",
                    "a session for a trainer's step ended"},
    log_event_entry{sample_discarded, warning, "sample_discarded",
                    "a sample was discarded and will be generated again"},
    log_event_entry{step_taken_over, info, "step_taken_over",
                    "a trainer's step moved to another instance"},
    log_event_entry{job_accepted, info, "job_accepted",
                    "a batch job was accepted and stored durably"},
    log_event_entry{job_refused, warning, "job_refused",
                    "a batch job was not accepted"},
    log_event_entry{job_ended, info, "job_ended",
                    "a batch job was ended by its trainer"},
    log_event_entry{job_loaded, info, "job_loaded",
                    "the planner of a service loaded a batch job"},
    log_event_entry{job_unreadable, error, "job_unreadable",
                    "the data of a batch job could not be decoded"},
    log_event_entry{job_dropped, info, "job_dropped",
                    "the planner of a service doesn't plan a batch job any "
                    "more; the detail says why"},
    log_event_entry{job_end_received, info, "job_end_received",
                    "this instance learned that a batch job has ended"},
    log_event_entry{item_started, debug, "item_started",
                    "an item was sent to an engine, or its scoring began"},
    log_event_entry{item_interrupted, info, "item_interrupted",
                    "the run or the scoring of an item ended early"},
    log_event_entry{item_given_up, warning, "item_given_up",
                    "an item was given up and is listed as lost"},
    log_event_entry{item_scored, debug, "item_scored",
                    "a sample received its score"},
    log_event_entry{results_listed, info, "results_listed",
                    "results are stored durably and can be read"},
    log_event_entry{results_not_listed, warning, "results_not_listed",
                    "results could not be stored durably yet"},
    log_event_entry{runner_lost, warning, "runner_lost",
                    "an instance that runs items stopped responding"},
    log_event_entry{runs_handed_over, info, "runs_handed_over",
                    "all runs and unlisted results were sent to a new planner"},
    log_event_entry{run_order_ignored, info, "run_order_ignored",
                    "a command from a planner whose term has ended was "
                    "ignored"},
    log_event_entry{result_read_unanswered, warning, "result_read_unanswered",
                    "a planner did not reply to a read of results; the store "
                    "is read instead"},
    log_event_entry{runner_found, info, "runner_found",
                    "an instance that was taken for lost reports runs again"},
    log_event_entry{item_text_discarded, info, "item_text_discarded",
                    "an item starts from its first event again, because no "
                    "engine can continue its text"},
    log_event_entry{item_stalled, info, "item_stalled",
                    "a run made no progress for too long and is stopped"},
    log_event_entry{result_read_empty, info, "result_read_empty",
                    "a read of a job's results found none at a position that "
                    "is not the end, and the job has ended or the read didn't "
                    "wait; the detail says from where it was answered"},
    log_event_entry{result_reply_empty, info, "result_reply_empty",
                    "a planner replied to an instance, without a wait, that no "
                    "results are listed from a position on"},
    log_event_entry{unknown_runs_reported, info, "unknown_runs_reported",
                    "an instance reports runs or scorings that its planner "
                    "doesn't know, and is ordered to stop them"},
    log_event_entry{ended_runs_stopped, info, "ended_runs_stopped",
                    "runs or scorings of ended jobs were still in progress "
                    "here and are stopped"},
    log_event_entry{item_refused, info, "item_refused",
                    "an engine refused an item; the detail has the sizes that "
                    "the planner assumed and the pause of the engine"},
    log_event_entry{engine_reserved, info, "engine_reserved",
                    "an item found no room for some time, so an engine gets "
                    "no new items that would keep it from starting"},
    log_event_entry{items_on_probation, info, "items_on_probation",
                    "waiting items of a job are on probation, because they "
                    "probably fit no engine, or none is any more"},
    log_event_entry{job_standing_changed, info, "job_standing_changed",
                    "a job yields to others of its priority or no longer does; "
                    "the detail says why"},
    log_event_entry{engines_shared, info, "engines_shared",
                    "organisations begin or cease to share engines, because "
                    "jobs would be late"},
    log_event_entry{configuration_in_force, info, "configuration_in_force",
                    "a revision of a service's configuration took effect"},
    log_event_entry{configuration_refused, error, "configuration_refused",
                    "a document in the platform's service is invalid"},
    log_event_entry{configuration_stale_ignored, debug,
                    "configuration_stale_ignored",
                    "a revision older than the current one was ignored"},
    log_event_entry{configuration_published, info, "configuration_published",
                    "a configuration that an operator published took effect"},
    log_event_entry{configuration_held_back, warning, "configuration_held_back",
                    "this instance served a newer revision before its "
                    "restart and waits for it"},
    log_event_entry{platform_store_behind, error, "platform_store_behind",
                    "the store is older than the configuration in force; "
                    "it may have been restored without raising its "
                    "revision"},
    log_event_entry{platform_unreachable, warning, "platform_unreachable",
                    "the platform's service does not answer"},
    log_event_entry{platform_reachable, info, "platform_reachable",
                    "the platform's service answers again"},
    log_event_entry{lease_acquired, info, "lease_acquired",
                    "this instance acquired a lease"},
    log_event_entry{lease_lost, warning, "lease_lost",
                    "this instance lost a lease"},
    log_event_entry{store_call_failed, warning, "store_call_failed",
                    "a call to the store failed"},
    log_event_entry{store_history_reread, info, "store_history_reread",
                    "all keys under a prefix of the store were read again"},
    log_event_entry{feed_followed, info, "feed_followed",
                    "this instance receives store changes from its zone's "
                    "feeder"},
    log_event_entry{feed_left, warning, "feed_left",
                    "no up-to-date feeder: this instance watches the store "
                    "itself"},
    log_event_entry{store_call_relayed, info, "store_call_relayed",
                    "a call to the store was relayed by another instance"},
    log_event_entry{term_handed_over, info, "term_handed_over",
                    "a planner released its term to a better-suited instance"},
    log_event_entry{
        feed_push_undecodable, warning, "feed_push_undecodable",
        "changes from the feeder build on a version that is missing here"},
    log_event_entry{store_items_unreadable, warning, "store_items_unreadable",
                    "items in a response of the store could not be read; "
                    "the others are used"},
    log_event_entry{peer_suspected, warning, "peer_suspected",
                    "an instance does not respond"},
    log_event_entry{peer_alive, info, "peer_alive", "an instance responds"},
    log_event_entry{peer_dead, warning, "peer_dead",
                    "an instance is considered dead"},
    log_event_entry{peer_frame_refused, warning, "peer_frame_refused",
                    "a frame from another instance was refused"},
    log_event_entry{zone_cut_suspected, error, "zone_cut_suspected",
                    "too many peers or upstreams became unreachable at once"},
    log_event_entry{zone_cut_ended, info, "zone_cut_ended",
                    "enough peers or upstreams are reachable again"},
    log_event_entry{peer_reply_unmatched, info, "peer_reply_unmatched",
                    "a reply of another instance matches no open request: it "
                    "was late, or meant for an earlier process"},
    log_event_entry{upstream_suspected, warning, "upstream_suspected",
                    "an upstream fails or does not answer"},
    log_event_entry{upstream_healthy, info, "upstream_healthy",
                    "an upstream answers again"},
    log_event_entry{upstream_leaving, info, "upstream_leaving",
                    "an upstream is leaving and gets no new work"},
    log_event_entry{upstream_crash_counted, warning, "upstream_crash_counted",
                    "an upstream crashed while it ran requests"},
    log_event_entry{upstream_registered, info, "upstream_registered",
                    "an upstream was added to the list or changed its entry"},
    log_event_entry{upstream_gone, info, "upstream_gone",
                    "an upstream was removed from the list"},
    log_event_entry{upstream_entry_ignored, warning, "upstream_entry_ignored",
                    "an invalid entry for an upstream or instance was ignored"},
    log_event_entry{upstream_limit_changed, info, "upstream_limit_changed",
                    "an upstream named, changed or lifted the request rate "
                    "that it accepts"},
    log_event_entry{upstream_isolation_began, warning,
                    "upstream_isolation_began",
                    "the instance reaches no upstream itself, but others do; "
                    "it connects through them"},
    log_event_entry{upstream_isolation_ended, info, "upstream_isolation_ended",
                    "the instance reaches upstreams itself again"},
    log_event_entry{tunnel_opened, info, "tunnel_opened",
                    "a connection to an upstream leads through another "
                    "instance"},
    log_event_entry{tunnel_refused, info, "tunnel_refused",
                    "another instance's request for a tunnel was refused"},
    log_event_entry{work_report_undecodable, warning, "work_report_undecodable",
                    "a report of another instance's work could not be decoded"},
    log_event_entry{upstream_slow, info, "upstream_slow",
                    "calls to an upstream take much longer than expected, so "
                    "it gets fewer"},
    log_event_entry{upstream_usual_speed, info, "upstream_usual_speed",
                    "calls to an upstream take about as long as expected "
                    "again, or none were measured for some time"},
    log_event_entry{order_sent, info, "order_sent",
                    "an order was sent to an upstream"},
    log_event_entry{order_done, info, "order_done",
                    "an upstream carried out an order"},
    log_event_entry{order_refused, warning, "order_refused",
                    "an upstream refused an order"},
    log_event_entry{order_outcome_unknown, warning, "order_outcome_unknown",
                    "it is not known whether an order took effect"},
    log_event_entry{orders_delayed, info, "orders_delayed",
                    "this instance ordered upstreams before another holder, "
                    "or may have before it restarted, and waits before it "
                    "orders them again"},
    log_event_entry{rollout_started, info, "rollout_started",
                    "a roll-out of weights began"},
    log_event_entry{rollout_finished, info, "rollout_finished",
                    "a roll-out of weights is complete"},
    log_event_entry{rollout_stopped, error, "rollout_stopped",
                    "a roll-out was stopped because it made upstreams fail"},
    log_event_entry{rollout_skipped, info, "rollout_skipped",
                    "a version was skipped in favour of a newer one"},
    log_event_entry{rollout_upstream_left_out, error,
                    "rollout_upstream_left_out",
                    "an upstream failed to swap weights too often and is "
                    "excluded"},
    log_event_entry{limit_share_changed, debug, "limit_share_changed",
                    "this instance's share of a limit changed"},
    log_event_entry{settings_reloaded, info, "settings_reloaded",
                    "the settings file was reloaded"},
    log_event_entry{store_machine_emptied, info, "store_machine_emptied",
                    "a store machine is empty and can be removed"},
    log_event_entry{log_lines_dropped, warning, "log_lines_dropped",
                    "log lines were dropped to limit the log volume"},
    log_event_entry{duty_platform_unreachable, warning,
                    "duty_platform_unreachable",
                    "the platform's interface for duties doesn't answer"},
    log_event_entry{duty_platform_reachable, info, "duty_platform_reachable",
                    "the platform's interface for duties answers again"},
    log_event_entry{duty_fenced_off, error, "duty_fenced_off",
                    "the platform knows a later holder of a duty; this one "
                    "makes no more calls in its term"},
    log_event_entry{duty_call_refused, error, "duty_call_refused",
                    "the platform refused a call of a duty, which isn't "
                    "repeated"},
    log_event_entry{duty_message_undecodable, warning,
                    "duty_message_undecodable",
                    "a message about a duty could not be decoded"},
    log_event_entry{usage_taken_over, info, "usage_taken_over",
                    "this instance reports usage and has read the records"},
    log_event_entry{usage_recorded, info, "usage_recorded",
                    "the usage report of a window is stored durably"},
    log_event_entry{usage_reported, info, "usage_reported",
                    "the platform took the usage report of a window"},
    log_event_entry{system_clock_jumped, warning, "system_clock_jumped",
                    "the time of day jumped; the time before the jump is used "
                    "until it has lasted"},
    log_event_entry{workers_ordered, info, "workers_ordered",
                    "the platform took an order for a number of upstreams"},
    log_event_entry{workers_unavailable, warning, "workers_unavailable",
                    "the platform has no such upstreams available now"},
};

} // namespace

const log_event_entry& describe(log_event event) {
    const auto* const found = std::find_if(
        entries.begin(), entries.end(),
        [event](const auto& entry) { return entry.event == event; });
    return found == entries.end() ? entries.front() : *found;
}

std::span<const log_event_entry> all_log_events() {
    return entries;
}

} // namespace savorydock
