#include "drivers/node/node_metrics.hpp"

#include <sstream>

namespace savorydock {

std::string write_node_metrics(const node_figures& figures) {
    std::ostringstream out;
    const auto write = [&](std::string_view name, auto value,
                           const std::string& labels = {}) {
        out << "savorydock_" << name << labels << ' ' << value << '\n';
    };
    write("requests_answered_total", figures.front.answered);
    write("requests_refused_total", figures.front.refused);
    write("requests_unknown_total", figures.front.unknown);
    write("requests_caller_gone_total", figures.front.callers_gone);
    write("jobs_accepted_total", figures.front.jobs_accepted);
    write("jobs_refused_total", figures.front.jobs_refused);
    write("store_calls_total", figures.store.calls);
    write("store_refused_total", figures.store.refused);
    write("store_unanswered_total", figures.store.unanswered);
    write("store_reachable", figures.is_store_reachable ? 1 : 0);
    write("configuration_version", figures.configuration_version);
    write("upstreams", figures.upstreams);
    write("requests_active", figures.active_requests);
    write("feeder", figures.is_feeder ? 1 : 0);
    write("following", figures.is_following ? 1 : 0);
    write("runs_active", figures.runs.active);
    write("runs_started_total", figures.runs.started);
    write("runs_interrupted_total", figures.runs.interrupted);
    for (const auto& [service, engine] : figures.engines) {
        const std::string labels = "{service=\"" + service.text() + "\"}";
        write("planner_term", engine.term, labels);
        write("results_listed_total", engine.results_listed, labels);
        write("orders_sent_total", engine.orders_sent, labels);
    }
    return out.str();
}

} // namespace savorydock
