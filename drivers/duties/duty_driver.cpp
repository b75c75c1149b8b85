#include "drivers/duties/duty_driver.hpp"

#include "core/wire_codec.hpp"
#include "servers/batch/job_keys.hpp"
#include "servers/feed/term_value.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sstream>
#include <vector>

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds report_interval{1'000};

} // namespace

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
    : context_(context)
    , fleet_(fleet)
    , peers_(peers)
    , directory_(directory)
    , find_holder_(std::move(find_holder))
    , self_(settings.instance)
    , log_(log)
    , caller_(context, term,
              {.settings = *settings.duties,
               .self = settings.instance,
               .has_other_instances =
                   [&directory] { return directory.size() > 1; }},
              log) {
    if (settings.duties->must_report_usage) {
        usage_ = std::make_unique<usage_reporter>(
            context, store, peers, directory, term, caller_,
            usage_reporter_options{.settings = *settings.duties,
                                   .self = settings.instance,
                                   .find_holder = find_holder_,
                                   .seed = seed},
            log);
        fleet.on_run_began = [this](const organisation_id& organisation,
                                    steady_time at) {
            usage_->on_run_began(organisation, at);
        };
    }
    if (settings.duties->may_scale) {
        scaler_ = std::make_unique<worker_scaler>(context, fleet, caller_,
                                                  settings, log);
    }
}

void duty_driver::start() {
    if (usage_) {
        usage_->start();
    }
    if (scaler_) {
        scaler_->start();
        asio::co_spawn(context_, report_open_requests(), asio::detached);
    }
}

void duty_driver::on_message(const peer_message& message) {
    if (message.topic != peer_topic::worker_demand) {
        if (usage_) {
            usage_->on_message(message);
        }
        return;
    }
    const auto demand = wire::decode<worker_demand>(message.body);
    if (!demand) {
        log_.write(log_event::duty_message_undecodable,
                   "from=" + message.from.text() + " reason=\"" +
                       demand.reason().detail + '"');
        return;
    }
    if (scaler_) {
        scaler_->on_demand(message.from, *demand);
    }
}

std::function<void(const worker_demand&)> duty_driver::demand_handler() {
    if (!scaler_) {
        return nullptr;
    }
    return [this](const worker_demand& demand) { on_demand(demand); };
}

void duty_driver::on_demand(const worker_demand& demand) {
    const instance_id holder = find_holder_().instance;
    if (holder == self_) {
        scaler_->on_demand(self_, demand);
        return;
    }
    const auto entry = directory_.find(holder);
    if (entry != directory_.end()) {
        peers_.send({.from = self_,
                     .to = holder,
                     .topic = peer_topic::worker_demand,
                     .body = wire::encode(demand)},
                    entry->second.address);
    }
}

void duty_driver::flush() {
    if (usage_) {
        usage_->flush();
    }
}

asio::awaitable<void> duty_driver::report_open_requests() {
    asio::steady_timer timer(context_);
    while (true) {
        const bool is_holder = find_holder_().instance == self_;
        std::vector<service_rule> services;
        if (fleet_.routes) {
            services = fleet_.routes->configuration().services;
        }
        for (const service_rule& service : services) {
            const std::uint64_t count = fleet_.open_requests[service.name];
            // The holder must know that there are none.
            if (service.scaling && (count > 0 || is_holder)) {
                on_demand({.service = service.name, .open_requests = count});
            }
        }
        timer.expires_after(report_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
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
    if (scaler_) {
        const scaling_statistics& scaling = scaler_->statistics();
        write("worker_orders_accepted_total", scaling.orders_accepted);
        write("worker_orders_unavailable_total", scaling.orders_unavailable);
        write("worker_orders_refused_total", scaling.orders_refused);
    }
    return out.str();
}

} // namespace savorydock
