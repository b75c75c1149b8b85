#include "drivers/entry/entry_instance.hpp"

#include "drivers/caf_runtime/control_runtime.hpp"
#include "drivers/caller_http/admission_gate.hpp"
#include "drivers/caller_http/caller_api.hpp"
#include "drivers/entry/control_plane.hpp"
#include "drivers/entry/entry_charts.hpp"
#include "drivers/entry/entry_executor.hpp"
#include "drivers/entry/status_json.hpp"
#include "drivers/logging/log4cxx_logger.hpp"
#include "drivers/operator_http/operator_api.hpp"
#include "drivers/peer/peer_link.hpp"
#include "drivers/platform_kv/etcd_gateway_client.hpp"
#include "drivers/process/process_resources.hpp"
#include "servers/admission/memory_plan.hpp"
#include "servers/routing/snapshot_router.hpp"

#include <boost/json/object.hpp>

#include <algorithm>
#include <random>
#include <sstream>
#include <thread>

namespace savorydock {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds drain_check_interval{20};

/// Operators send no bodies.
constexpr std::uint32_t max_operator_body_bytes = 65'536;
constexpr std::uint32_t max_operator_connections = 64;
constexpr std::size_t operator_memory_bytes = 2U << 20U;
constexpr std::size_t bytes_per_mb = 1U << 20U;

/// Divides the memory of the settings, or else of the machine. In that case one
/// body of the largest size is received whatever the machine's memory, because
/// the settings promise it.
memory_plan make_plan(const instance_settings& settings) {
    const std::size_t threads = settings.traffic_threads;
    if (settings.memory_mb > 0) {
        return make_memory_plan(settings.memory_mb * bytes_per_mb, threads);
    }
    memory_plan plan = make_memory_plan(find_machine_memory(), threads);
    plan.caller_bytes =
        std::max(plan.caller_bytes,
                 min_caller_bytes(settings.limits.max_body_bytes, threads));
    return plan;
}

caller_limits limit_callers(const instance_settings& settings,
                            std::size_t max_descriptors) {
    caller_limits limits = settings.limits;
    limits.max_connections =
        max_caller_connections(max_descriptors, limits.max_connections);
    return limits;
}

caller_limits limit_operators(const instance_settings& settings) {
    caller_limits limits = settings.limits;
    limits.max_connections =
        std::min(limits.max_connections, max_operator_connections);
    limits.max_body_bytes =
        std::min(limits.max_body_bytes, max_operator_body_bytes);
    return limits;
}

std::string write_limited(const http_server_counters& counters) {
    std::string text;
    const auto write = [&](std::string_view reason, std::uint64_t count) {
        text += "savorydock_callers_limited_total{reason=\"" +
                std::string(reason) + "\"} " + std::to_string(count) + "\n";
    };
    write("malformed", counters.malformed);
    write("too_large", counters.too_large);
    write("request_memory", counters.overloaded);
    write("answer_memory", counters.answers_dropped);
    write("slow", counters.too_slow);
    write("closed_for_room", counters.closed_for_room);
    write("not_accepted", counters.not_accepted);
    return text;
}

std::uint64_t make_random_seed() {
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

std::string to_hex(std::uint64_t number) {
    std::ostringstream text;
    text << std::hex << number;
    return text.str();
}

} // namespace

/// The components in the order of their construction. `stop` ends the control
/// and traffic threads before the objects that they use are destroyed.
struct entry_instance::parts {
    parts(instance_settings used, entry_charts loaded)
        : settings(std::move(used))
        , charts(std::move(loaded))
        , seed(make_random_seed())
        , random(seed)
        , log(settings.log_file, settings.log_level, settings.instance.text())
        , control_io(1)
        , traffic_io(settings.traffic_threads)
        , platform(control_io.context(0), settings.platform)
        , peers(control_io.context(0),
                {.instance = settings.instance,
                 .zone = settings.zone,
                 .listen = settings.peer_listen,
                 .peer_key = settings.peer_key,
                 .max_incoming_bytes = plan.peer_bytes,
                 .seed = seed},
                log)
        , executor(control_io.context(0), peers, platform)
        , runtime({}, executor, log)
        , router(settings.zone, seed)
        , keys({.max_answer_bytes = std::min(
                    key_ledger_options{}.max_answer_bytes, plan.result_bytes)})
        , decisions(decision_log_options{})
        , control(
              {.settings = settings,
               .charts = charts,
               .decisions = decisions,
               .random = random,
               .router = router,
               .executor = executor,
               .keys = keys,
               .port = delivery,
               .limiter = limiter,
               .boot = to_hex(seed),
               .on_view = [this](auto view) { apply_view(std::move(view)); }})
        , gate(router)
        , traffic{.instance = settings.instance,
                  .router = router,
                  .gate = gate,
                  .keys = keys,
                  .delivery = delivery,
                  .budgets = budgets,
                  .decisions = decisions,
                  .limiter = *limiter,
                  .metrics = metrics,
                  .log = log,
                  .charts = charts.step,
                  .request_chart = charts.request_life,
                  .observe =
                      [this](upstream_observation seen) {
                          runtime.post_observation(std::move(seen));
                      }}
        , caller_server(traffic_io,
                        limit_callers(settings, raise_descriptor_limit()),
                        make_caller_api(traffic),
                        {.memory_bytes = plan.caller_bytes, .log = &log})
        , operator_server(control_io, limit_operators(settings),
                          make_operator_api(operators),
                          {.memory_bytes = operator_memory_bytes,
                           .name = "operators",
                           .log = &log}) {
        traffic.incarnation = to_hex(seed);
        traffic.statistics.resize(traffic_io.size());
        for (std::size_t i = 0; i < traffic_io.size(); ++i) {
            traffic.contexts.emplace_back(traffic_io.context(i));
            traffic.clients.push_back(std::make_unique<upstream_client>(
                traffic_io.context(i),
                answer_limits{.max_total_body_bytes = plan.answer_bytes}));
        }
        bind_operator_services();
    }

    ~parts() { stop(); }

    outcome<done> start();
    void stop();
    void apply_view(std::shared_ptr<const configuration_view> view);
    void bind_operator_services();
    json::object make_status(steady_time now);

    instance_settings settings;
    memory_plan plan = make_plan(settings);
    entry_charts charts;
    std::uint64_t seed;
    seeded_random_source random;
    log4cxx_logger log;
    traffic_pool control_io;
    traffic_pool traffic_io;
    etcd_gateway_client platform;
    peer_link peers;
    entry_executor executor;
    control_runtime runtime;
    snapshot_router router;
    key_ledger keys;
    delivery_port delivery;
    retry_budgets budgets;
    decision_log decisions;
    std::shared_ptr<rate_limiter> limiter = std::make_shared<rate_limiter>();
    metrics_registry metrics;
    std::atomic<std::shared_ptr<const std::string>> control_counters;
    control_plane control;
    admission_gate gate;
    operator_services operators;
    traffic_services traffic;
    http_server caller_server;
    http_server operator_server;
    std::atomic<bool> is_drain_wanted{false};
    steady_time started = std::chrono::steady_clock::now();
    endpoint caller_address;
    endpoint operator_address;
    endpoint peer_address;
};

void entry_instance::parts::apply_view(
    std::shared_ptr<const configuration_view> view) {
    router.publish(view, control.membership().upstream_states());
    traffic.configuration.store(view);
    runtime.post_configuration(std::move(view));
}

json::object entry_instance::parts::make_status(steady_time now) {
    return {
        {"instance", settings.instance.text()},
        {"zone", settings.zone.text()},
        {"version", SAVORYDOCK_VERSION},
        {"draining", traffic.is_draining.load()},
        {"uptime_ms",
         std::chrono::duration_cast<std::chrono::milliseconds>(now - started)
             .count()},
        {"active_requests", caller_server.active_requests()},
        {"open_connections", caller_server.open_connections()},
        {"configuration", to_json(control.configuration().status(now))},
        {"instances", to_json(control.membership().instances())},
        {"cut_off", control.membership().is_cut_off()},
        {"upstreams", to_json(*control.membership().upstream_states())},
        {"orders", to_json(control.orders().status())},
        {"peer_link", to_json(peers.counters())},
    };
}

void entry_instance::parts::bind_operator_services() {
    operators.operator_key = settings.operator_key;
    operators.read_status = [this](auto answer) {
        runtime.post([this, answer](steady_time now, command_list&) {
            answer(make_status(now));
        });
    };
    operators.explain = [this](std::string subject, auto answer) {
        runtime.post([this, subject = std::move(subject),
                      answer](steady_time now, command_list& out) {
            control.explanations().query(
                subject,
                [answer](const explanation& found) { answer(to_json(found)); },
                now, out);
        });
    };
    operators.write_metrics = [this] {
        const auto counters = control_counters.load();
        return metrics.write_text() + (counters ? *counters : "") +
               "savorydock_chart_violations_total " +
               std::to_string(traffic.chart_violations.load()) + "\n" +
               "savorydock_active_requests " +
               std::to_string(caller_server.active_requests()) + "\n" +
               write_limited(caller_server.total_counters());
    };
    operators.start_drain = [this] { is_drain_wanted = true; };
    operators.clear_suspect = [this](std::string fingerprint, auto answer) {
        const bool is_known = delivery.suspects()->contains(fingerprint);
        delivery.submit(suspect_clearing{std::move(fingerprint)});
        answer({{"cleared", is_known}});
    };
    operators.is_ready = [this] {
        const auto view = traffic.configuration.load();
        return !traffic.is_draining && view && !view->services().empty();
    };
}

outcome<done> entry_instance::parts::start() {
    peers.on_message([this](const peer_message& message) {
        runtime.post_peer_message(message);
    });
    const auto peer = peers.start();
    if (!peer) {
        return peer.reason();
    }
    control.attach(runtime);
    runtime.set_after_tick([this](steady_time now, command_list& out) {
        control.share(now, out);
        gate.on_tick(now);
        control_counters.store(
            std::make_shared<const std::string>(control.write_counters()));
    });
    delivery.set_wake([this] {
        runtime.post_for(control.delivery(),
                         [this](steady_time now, command_list& out) {
                             control.delivery().serve_port(now, out);
                         });
    });
    runtime.start();
    const auto operator_used = operator_server.listen(settings.operator_listen);
    if (!operator_used) {
        return operator_used.reason();
    }
    const auto caller = caller_server.listen(settings.caller_listen);
    if (!caller) {
        return caller.reason();
    }
    peer_address = *peer;
    operator_address = *operator_used;
    caller_address = *caller;
    log.write(log_event::instance_started,
              "zone=" + settings.zone.text() +
                  " caller_memory_bytes=" + std::to_string(plan.caller_bytes) +
                  " caller=" + to_text(caller_address) + " operator=" +
                  to_text(operator_address) + " peer=" + to_text(peer_address));
    return done{};
}

void entry_instance::parts::stop() {
    caller_server.stop_accepting();
    operator_server.stop_accepting();
    peers.stop();
    traffic_io.stop();
    control_io.stop();
    runtime.stop();
    log.write(log_event::instance_stopped, "");
}

entry_instance::entry_instance(std::unique_ptr<parts> made)
    : parts_(std::move(made)) {}

entry_instance::~entry_instance() = default;

outcome<done> entry_instance::check(const instance_settings& settings) {
    const std::size_t least =
        min_memory_mb(settings.limits.max_body_bytes, settings.traffic_threads);
    if (settings.memory_mb > 0 && settings.memory_mb < least) {
        return failure{result_code::invalid_settings,
                       "memory_mb: at least " + std::to_string(least) +
                           " for limits.max_body_bytes and traffic_threads"};
    }
    return done{};
}

outcome<std::unique_ptr<entry_instance>>
entry_instance::start(const instance_settings& settings) {
    const auto checked = check(settings);
    if (!checked) {
        return checked.reason();
    }
    auto charts = entry_charts::load(settings.chart_folder);
    if (!charts) {
        return charts.reason();
    }
    auto made = std::make_unique<parts>(settings, std::move(*charts));
    const auto started = made->start();
    if (!started) {
        made->log.write(log_event::listener_failed, started.reason().detail);
        return started.reason();
    }
    return std::unique_ptr<entry_instance>(new entry_instance(std::move(made)));
}

bool entry_instance::drain() {
    parts_->traffic.is_draining = true;
    parts_->traffic.hand_off_at =
        std::chrono::steady_clock::now() + parts_->settings.drain_timeout / 2;
    parts_->runtime.post(
        [this](steady_time, command_list&) { parts_->control.begin_drain(); });
    const auto& server = parts_->caller_server;
    parts_->log.write(log_event::drain_started,
                      "active=" + std::to_string(server.active_requests()));
    const steady_time deadline =
        std::chrono::steady_clock::now() + parts_->settings.drain_timeout;
    while (server.active_requests() > 0 &&
           std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(drain_check_interval);
    }
    const std::size_t left = server.active_requests();
    parts_->log.write(log_event::drain_finished,
                      "left=" + std::to_string(left));
    return left == 0;
}

bool entry_instance::is_drain_wanted() const {
    return parts_->is_drain_wanted;
}

const endpoint& entry_instance::caller_address() const {
    return parts_->caller_address;
}

const endpoint& entry_instance::operator_address() const {
    return parts_->operator_address;
}

const endpoint& entry_instance::peer_address() const {
    return parts_->peer_address;
}

} // namespace savorydock
