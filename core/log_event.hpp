#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace savorydock {

/// Numbered log events. Operators' tools rely on the numbers, so never
/// renumber an event. docs/LOG_EVENTS.md lists all events; a test compares it
/// with `all_log_events`.
enum class log_event : std::uint16_t {
    instance_started = 1000,
    instance_stopped = 1001,
    drain_started = 1002,
    drain_finished = 1003,
    settings_invalid = 1004,
    listener_failed = 1005,
    caller_limited = 1006,

    request_finished = 2000,
    request_refused = 2001,
    request_retried = 2002,
    request_resumed = 2003,
    request_suspected = 2004,
    request_cleared = 2005,
    request_outcome_unknown = 2006,
    stream_sent = 2007,
    stream_ended = 2008,
    stream_default_changed = 2009,
    attempt_failed = 2010,

    step_started = 2100,
    step_finished = 2101,
    sample_discarded = 2102,
    step_taken_over = 2103,

    job_accepted = 2200,
    job_refused = 2201,
    job_ended = 2202,
    job_loaded = 2203,
    job_unreadable = 2204,
    job_dropped = 2205,
    job_end_received = 2206,
    item_started = 2210,
    item_interrupted = 2211,
    item_given_up = 2212,
    item_scored = 2213,
    results_listed = 2214,
    results_not_listed = 2215,
    runner_lost = 2216,
    runs_handed_over = 2217,
    run_order_ignored = 2218,
    result_read_unanswered = 2219,
    runner_found = 2220,
    item_text_discarded = 2221,
    item_stalled = 2222,
    result_read_empty = 2223,
    result_reply_empty = 2224,
    unknown_runs_reported = 2225,
    ended_runs_stopped = 2226,
    item_refused = 2227,
    engine_reserved = 2228,
    items_on_probation = 2229,
    job_standing_changed = 2230,
    engines_shared = 2231,

    configuration_in_force = 3000,
    configuration_refused = 3001,
    configuration_stale_ignored = 3002,
    configuration_published = 3003,
    configuration_held_back = 3004,
    platform_store_behind = 3005,

    platform_unreachable = 3100,
    platform_reachable = 3101,
    lease_acquired = 3102,
    lease_lost = 3103,
    store_call_failed = 3104,
    store_history_reread = 3105,
    feed_followed = 3106,
    feed_left = 3107,
    store_call_relayed = 3108,
    term_handed_over = 3109,
    feed_push_undecodable = 3110,
    store_items_unreadable = 3111,

    peer_suspected = 3200,
    peer_alive = 3201,
    peer_dead = 3202,
    peer_frame_refused = 3203,
    zone_cut_suspected = 3204,
    zone_cut_ended = 3205,
    peer_reply_unmatched = 3206,

    upstream_suspected = 3300,
    upstream_healthy = 3301,
    upstream_leaving = 3302,
    upstream_crash_counted = 3303,
    upstream_registered = 3304,
    upstream_gone = 3305,
    upstream_entry_ignored = 3306,
    upstream_limit_changed = 3307,
    upstream_isolation_began = 3310,
    upstream_isolation_ended = 3311,
    tunnel_opened = 3312,
    tunnel_refused = 3313,
    work_report_undecodable = 3314,
    upstream_slow = 3315,
    upstream_usual_speed = 3316,

    order_sent = 3400,
    order_done = 3401,
    order_refused = 3402,
    order_outcome_unknown = 3403,
    orders_delayed = 3404,
    rollout_started = 3410,
    rollout_finished = 3411,
    rollout_stopped = 3412,
    rollout_skipped = 3413,
    rollout_upstream_left_out = 3414,

    limit_share_changed = 3500,

    settings_reloaded = 3600,
    store_machine_emptied = 3601,
    log_lines_dropped = 3602,

    duty_platform_unreachable = 3700,
    duty_platform_reachable = 3701,
    duty_fenced_off = 3702,
    duty_call_refused = 3703,
    duty_message_undecodable = 3704,
    usage_taken_over = 3710,
    usage_recorded = 3711,
    usage_reported = 3712,
    system_clock_jumped = 3713,
    workers_ordered = 3720,
    workers_unavailable = 3721,
};

/// The severity of an event.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// One row of the table of events.
struct log_event_entry {
    log_event event;
    log_level level;
    std::string_view name;
    std::string_view meaning;
};

/// Returns the row of an event. Precondition: the event has one. Thread safe.
[[nodiscard]] const log_event_entry& describe(log_event event);

/// Returns all rows in the order of their numbers. Thread safe.
[[nodiscard]] std::span<const log_event_entry> all_log_events();

} // namespace savorydock
