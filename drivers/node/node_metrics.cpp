#include "drivers/node/node_metrics.hpp"

#include <iomanip>
#include <sstream>
#include <utility>

namespace savorydock {

namespace {

double to_seconds(std::chrono::milliseconds time) {
    return std::chrono::duration<double>(time).count();
}

void write_identities(std::ostream& out, const identity_counters& counters) {
    const std::pair<std::string_view, std::uint64_t> refused[] = {
        {"missing_key", counters.missing_keys},
        {"unknown_key", counters.unknown_keys},
        {"uncertain", counters.uncertain_keys},
        {"foreign_job", counters.foreign_jobs}};
    for (const auto& [reason, count] : refused) {
        out << "savorydock_callers_refused_total{reason=\"" << reason << "\"} "
            << count << '\n';
    }
    for (const auto& [organisation, count] : counters.served) {
        const std::string name =
            organisation.is_empty() ? "others" : organisation.text();
        out << "savorydock_requests_served_total{organisation="
            << std::quoted(name) << "} " << count << '\n';
    }
}

} // namespace

std::string write_node_metrics(const node_statistics& statistics) {
    std::ostringstream out;
    const auto write = [&](std::string_view name, auto value,
                           const std::string& labels = {}) {
        out << "savorydock_" << name << labels << ' ' << value << '\n';
    };
    write("requests_answered_total", statistics.front.answered);
    write("requests_refused_total", statistics.front.refused);
    write("requests_unknown_total", statistics.front.unknown);
    write("requests_caller_gone_total", statistics.front.callers_gone);
    write("requests_blocked_total", statistics.front.suspects_refused);
    write("jobs_accepted_total", statistics.front.jobs_accepted);
    write("jobs_refused_total", statistics.front.jobs_refused);
    write_identities(out, statistics.identities);
    write("store_calls_total", statistics.store.calls);
    for (std::size_t kind = 0; kind < store_call_kind_count; ++kind) {
        const auto name = name_of(static_cast<store_call_kind>(kind));
        write("store_calls_by_kind_total",
              statistics.store.calls_by_kind.at(kind),
              "{kind=\"" + std::string(name) + "\"}");
    }
    write("store_refused_total", statistics.store.refused);
    write("store_unanswered_total", statistics.store.unanswered);
    write("store_reachable", statistics.is_store_reachable ? 1 : 0);
    write("configuration_version", statistics.configuration_version);
    write("upstreams", statistics.upstreams);
    write("requests_active", statistics.active_requests);
    write("caller_connections", statistics.connections);
    write("caller_memory_bytes", statistics.callers.memory_bytes);
    const auto write_limited = [&](std::string_view reason,
                                   std::uint64_t count) {
        write("callers_limited_total", count,
              "{reason=\"" + std::string(reason) + "\"}");
    };
    write_limited("malformed", statistics.callers.malformed);
    write_limited("too_large", statistics.callers.too_large);
    write_limited("request_memory", statistics.callers.overloaded);
    write_limited("answer_memory", statistics.callers.answers_dropped);
    write_limited("slow", statistics.callers.too_slow);
    write_limited("closed_for_room", statistics.callers.closed_for_room);
    write_limited("not_accepted", statistics.callers.not_accepted);
    write("feeder", statistics.is_feeder ? 1 : 0);
    write("following", statistics.is_following ? 1 : 0);
    write("view_current", statistics.view.is_current ? 1 : 0);
    if (statistics.view.age) {
        write("view_age_seconds", to_seconds(*statistics.view.age));
    }
    if (statistics.view.confirmed_age) {
        write("view_confirmed_age_seconds",
              to_seconds(*statistics.view.confirmed_age));
    }
    write("view_missing_seconds", to_seconds(statistics.view.missing_for));
    write("peer_messages_dropped_total", statistics.peers.dropped);
    write("peer_messages_lost_total", statistics.peers.lost);
    write("peer_queued_bytes", statistics.peers.queued_bytes);
    write("peer_largest_queue_bytes", statistics.peers.largest_queue_bytes);
    write("peer_longest_wait_seconds",
          to_seconds(statistics.peers.longest_wait));
    for (const bool is_kept : {false, true}) {
        const std::string connection =
            std::string("connection=\"") + (is_kept ? "kept" : "new") + '"';
        write("attempts_answered_total", statistics.attempts.answered(is_kept),
              '{' + connection + '}');
        for (const call_stage stage :
             {call_stage::connecting, call_stage::writing, call_stage::waiting,
              call_stage::reading}) {
            write("attempts_failed_total",
                  statistics.attempts.failed(stage, is_kept),
                  '{' + connection + ",stage=\"" + std::string(name_of(stage)) +
                      "\"}");
        }
    }
    write("upstreams_isolated", statistics.is_isolated ? 1 : 0);
    write("tunnels_open", statistics.tunnels.open);
    write("tunnels_opened_total", statistics.tunnels.opened);
    write("tunnels_refused_total", statistics.tunnels.refused);
    write("tunnels_used_total", statistics.tunnels_used);
    write("runs_active", statistics.runs.active);
    write("runs_started_total", statistics.runs.started);
    write("runs_interrupted_total", statistics.runs.interrupted);
    write("runs_stopped_after_end_total", statistics.runs.stopped_after_end);
    for (std::size_t origin = 0; origin < result_origin_count; ++origin) {
        const std::string labels =
            "{origin=\"" +
            std::string(name_of(static_cast<result_origin>(origin))) + "\"}";
        write("result_reads_total",
              statistics.result_reads.with_rows.at(origin), labels);
        write("result_reads_empty_total",
              statistics.result_reads.empty.at(origin), labels);
    }
    if (statistics.placement) {
        const placement_counters& placed = *statistics.placement;
        write("placed_expected_seconds_total", placed.expected_seconds);
        write("placed_measured_seconds_total", placed.measured_seconds);
        write("placed_answered_total", placed.answered);
        write("placed_estimated_closely_total", placed.estimated_closely);
        write("placed_probes_total", placed.probes);
        write("placed_with_reports_total", placed.with_reports);
        for (const auto& [upstream, calls] : placed.calls) {
            write("placed_calls_total", calls,
                  "{upstream=\"" + upstream.text() + "\"}");
        }
    }
    for (const auto& [service, engine] : statistics.engines) {
        const std::string labels = "{service=\"" + service.text() + "\"}";
        write("planner_term", engine.term, labels);
        write("results_listed_total", engine.results_listed, labels);
        write("orders_sent_total", engine.orders_sent, labels);
        write("unknown_runs_stopped_total", engine.unknown_runs_stopped,
              labels);
        write("items_refused_total", engine.items_refused, labels);
        write("engines_reserved_total", engine.engines_reserved, labels);
    }
    return out.str();
}

} // namespace savorydock
