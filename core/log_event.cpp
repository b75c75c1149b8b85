#include "core/log_event.hpp"

#include <algorithm>
#include <array>

namespace savorydock {

namespace {

using enum log_event;
using enum log_level;

constexpr std::array entries{
    log_event_entry{instance_started, info, "instance_started",
                    "the instance serves"},
    log_event_entry{instance_stopped, info, "instance_stopped",
                    "the instance has ended"},
    log_event_entry{drain_started, info, "drain_started",
                    "no new work is taken"},
    log_event_entry{drain_finished, info, "drain_finished",
                    "no request is left"},
    log_event_entry{settings_invalid, error, "settings_invalid",
                    "the settings file has faults"},
    log_event_entry{listener_failed, error, "listener_failed",
                    "an address could not be listened on"},
    log_event_entry{request_finished, debug, "request_finished",
                    "a request ended with the result code given"},
    log_event_entry{request_refused, info, "request_refused",
                    "a request was refused before it ran"},
    log_event_entry{request_retried, info, "request_retried",
                    "a request is tried on another upstream"},
    log_event_entry{request_resumed, info, "request_resumed",
                    "a stream is resumed on another upstream"},
    log_event_entry{request_suspected, warning, "request_suspected",
                    "a request coincided with upstream crashes and is held"},
    log_event_entry{request_cleared, info, "request_cleared",
                    "an operator cleared a held request"},
    log_event_entry{request_outcome_unknown, warning, "request_outcome_unknown",
                    "a caller was told that its request may have run"},
    log_event_entry{step_started, info, "step_started",
                    "a trainer's step session began"},
    log_event_entry{step_finished, info, "step_finished",
                    "a trainer's step session ended"},
    log_event_entry{sample_discarded, warning, "sample_discarded",
                    "a sample was discarded and is run again"},
    log_event_entry{step_taken_over, info, "step_taken_over",
                    "a trainer's step moved to another instance"},
    log_event_entry{configuration_in_force, info, "configuration_in_force",
                    "a revision of a service is in force"},
    log_event_entry{configuration_refused, error, "configuration_refused",
                    "a document in the platform's service is invalid"},
    log_event_entry{configuration_stale_ignored, debug,
                    "configuration_stale_ignored",
                    "an older revision than the one held was ignored"},
    log_event_entry{configuration_published, info, "configuration_published",
                    "an operator's publish took effect"},
    log_event_entry{configuration_held_back, warning, "configuration_held_back",
                    "served a newer revision before its restart and waits for "
                    "it"},
    log_event_entry{platform_store_behind, error, "platform_store_behind",
                    "the store is older than what is in force; was it "
                    "restored without a bumped revision?"},
    log_event_entry{platform_unreachable, warning, "platform_unreachable",
                    "the platform's service does not answer"},
    log_event_entry{platform_reachable, info, "platform_reachable",
                    "the platform's service answers again"},
    log_event_entry{lease_acquired, info, "lease_acquired",
                    "this instance holds a lease"},
    log_event_entry{lease_lost, warning, "lease_lost",
                    "this instance no longer holds a lease"},
    log_event_entry{peer_suspected, warning, "peer_suspected",
                    "an instance does not answer"},
    log_event_entry{peer_alive, info, "peer_alive", "an instance answers"},
    log_event_entry{peer_dead, warning, "peer_dead",
                    "an instance is held to be gone"},
    log_event_entry{peer_frame_refused, warning, "peer_frame_refused",
                    "a frame from another instance was refused"},
    log_event_entry{zone_cut_suspected, error, "zone_cut_suspected",
                    "too many peers or upstreams vanished at once"},
    log_event_entry{zone_cut_ended, info, "zone_cut_ended",
                    "the vanished ones answer again"},
    log_event_entry{upstream_suspected, warning, "upstream_suspected",
                    "an upstream fails or does not answer"},
    log_event_entry{upstream_healthy, info, "upstream_healthy",
                    "an upstream answers again"},
    log_event_entry{upstream_leaving, info, "upstream_leaving",
                    "an upstream leaves and gets no new work"},
    log_event_entry{upstream_crash_counted, warning, "upstream_crash_counted",
                    "an upstream crashed while it ran requests"},
    log_event_entry{order_sent, info, "order_sent",
                    "an order was sent to an upstream"},
    log_event_entry{order_done, info, "order_done",
                    "an upstream carried out an order"},
    log_event_entry{order_refused, warning, "order_refused",
                    "an upstream refused an order"},
    log_event_entry{order_outcome_unknown, warning, "order_outcome_unknown",
                    "it is not known whether an order took effect"},
    log_event_entry{rollout_started, info, "rollout_started",
                    "a roll-out of weights began"},
    log_event_entry{rollout_finished, info, "rollout_finished",
                    "a roll-out of weights is complete"},
    log_event_entry{rollout_stopped, error, "rollout_stopped",
                    "a roll-out made upstreams fail and was stopped"},
    log_event_entry{rollout_skipped, info, "rollout_skipped",
                    "a version was overtaken by a newer one"},
    log_event_entry{rollout_upstream_left_out, error,
                    "rollout_upstream_left_out",
                    "an upstream failed to swap too often; it is left out"},
    log_event_entry{limit_share_changed, debug, "limit_share_changed",
                    "this instance's share of a limit changed"},
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
