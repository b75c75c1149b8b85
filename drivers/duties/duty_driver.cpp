#include "drivers/duties/duty_driver.hpp"

#include "servers/batch/job_keys.hpp"
#include "servers/feed/term_value.hpp"

#include <sstream>

namespace savorydock {

duty_holder find_scope_holder(const key_copy& control_keys,
                              std::string_view scope) {
    const auto& keys = control_keys.values();
    const auto found = keys.find(std::string(term_prefix) + std::string(scope));
    if (found == keys.end()) {
        return {};
    }
    return {.instance = holder_of(found->second.value),
            .term = found->second.modified};
}

duty_driver::duty_driver(boost::asio::io_context& context, store_client& store,
                         peer_transport& peers, const node_directory& directory,
                         fleet_state& fleet, scope_term& term,
                         std::function<duty_holder()> find_holder,
                         const node_settings& settings, std::uint64_t seed,
                         logger& log)
    : caller_(context, term,
              {.settings = *settings.duties,
               .self = settings.instance,
               .lease_time = settings.holder_separation,
               .has_other_instances =
                   [&directory] { return directory.size() > 1; }},
              log) {
    if (settings.duties->must_report_usage) {
        usage_ = std::make_unique<usage_reporter>(
            context, store, peers, directory, term, caller_,
            usage_reporter_options{.settings = *settings.duties,
                                   .self = settings.instance,
                                   .find_holder = find_holder,
                                   .seed = seed},
            log);
        fleet.on_run_began = [this](const organisation_id& organisation,
                                    steady_time at) {
            usage_->on_run_began(organisation, at);
        };
    }
}

void duty_driver::start() {
    if (usage_) {
        usage_->start();
    }
}

void duty_driver::on_message(const peer_message& message) {
    if (usage_) {
        usage_->on_message(message);
    }
}

void duty_driver::flush() {
    if (usage_) {
        usage_->flush();
    }
}

std::string duty_driver::write_metrics() const {
    std::ostringstream out;
    const auto write = [&](std::string_view name, auto value) {
        out << "savorydock_" << name << ' ' << value << '\n';
    };
    write("duty_calls_total", caller_.counters().calls);
    write("duty_calls_unanswered_total", caller_.counters().unanswered);
    write("duty_calls_fenced_off_total", caller_.counters().fenced_off);
    if (usage_) {
        const usage_statistics usage = usage_->statistics();
        write("usage_windows_recorded_total", usage.windows_recorded);
        write("usage_reports_accepted_total", usage.reports_accepted);
        write("usage_reports_refused_total", usage.reports_refused);
        write("usage_reports_waiting", usage.reports_waiting);
        write("usage_late_counts_total", usage.late_counts);
        write("system_clock_off", usage.is_clock_off ? 1 : 0);
    }
    return out.str();
}

} // namespace savorydock
