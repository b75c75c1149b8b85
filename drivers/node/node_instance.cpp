#include "drivers/node/node_instance.hpp"

#include "core/metrics_registry.hpp"
#include "core/text_file.hpp"
#include "core/wire_codec.hpp"
#include "drivers/batch/engine_driver.hpp"
#include "drivers/batch/job_store.hpp"
#include "drivers/batch/result_exchange.hpp"
#include "drivers/caf_runtime/control_mailbox.hpp"
#include "drivers/duties/duty_driver.hpp"
#include "drivers/feed/node_registration.hpp"
#include "drivers/feed/peer_store_relay.hpp"
#include "drivers/feed/store_feed.hpp"
#include "drivers/feed/work_sharing.hpp"
#include "drivers/front/front_service.hpp"
#include "drivers/front/stream_duty.hpp"
#include "drivers/front/stream_forwarder.hpp"
#include "drivers/front/stream_ledger.hpp"
#include "drivers/front/suspect_publisher.hpp"
#include "drivers/http/http_server.hpp"
#include "drivers/node/fleet_mirror.hpp"
#include "drivers/node/node_metrics.hpp"
#include "drivers/peer/peer_link.hpp"
#include "drivers/store/scope_term.hpp"
#include "drivers/store/store_mirror.hpp"
#include "drivers/tunnel/path_connector.hpp"
#include "drivers/tunnel/tunnel_server.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/settings_file.hpp"
#include "servers/admission/memory_plan.hpp"
#include "servers/batch/job_keys.hpp"
#include "servers/batch/message_parts.hpp"
#include "servers/feed/claim_order.hpp"
#include "servers/feed/root_feeder.hpp"
#include "servers/fleet/limit_sharing.hpp"
#include "servers/membership/stable_hash.hpp"
#include "servers/streams/stream_keys.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>
#include <future>
#include <random>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// How long new connections may still arrive during a drain: the platform
/// checks readiness once a second and takes an instance out of rotation after
/// two failed checks.
constexpr std::chrono::milliseconds rotation_exit_time{2'700};
/// How long a drain waits for finished results to be listed before it gives up
/// the term.
constexpr std::chrono::milliseconds commit_drain_time{600};
/// How long active runs may continue after the start of a drain; other
/// instances resume the rest. An item takes one second on average and seven at
/// most.
constexpr std::chrono::milliseconds run_drain_time{4'000};
/// Time allowed for the reports of stopped runs to reach their planners.
constexpr std::chrono::milliseconds report_delivery_time{150};
/// Time reserved for the process to exit before the platform kills it.
constexpr std::chrono::milliseconds exit_margin{700};
constexpr std::chrono::milliseconds drain_check_interval{40};
/// Maximum time for the answers to requests that arrived before the exit.
constexpr std::chrono::milliseconds last_answer_time{300};
/// Limits of the ports for readiness and metrics, whose requests have no
/// bodies.
constexpr std::uint32_t max_probe_connections = 64;
constexpr std::uint32_t max_probe_body_bytes = 65'536;
constexpr std::size_t probe_memory_bytes = 2U << 20U;
/// Half of the limit of the link between instances.
constexpr std::size_t max_report_bytes = 1U << 20U;
/// How often the settings file is checked for changes that no signal announced.
constexpr std::chrono::milliseconds settings_check_interval{5'000};
/// Port of the metrics listener; must match the deploy file.
constexpr std::uint16_t metrics_port = 9464;
/// Maximum number of connections to other instances: the followers in a
/// feeder's zone and a planner's runners.
constexpr std::size_t max_peers = 256;
/// A message that isn't delivered by then is dropped; senders recover in other
/// ways.
constexpr std::chrono::milliseconds peer_timeout{1'500};
/// An instance whose processor share is below this fraction of the largest
/// instance's leaves planning to larger ones: a takeover decodes all open jobs
/// at once, which takes 1.3 s on an eighth of a core.
constexpr double min_relative_planner_share = 0.75;
/// How long after its start an instance takes the directory of instances for
/// incomplete, because all may have started together.
constexpr std::chrono::milliseconds directory_fill_time{500};
/// Part of the store's writes that records of streams may use.
constexpr double stream_record_share = 0.5;
/// Name of the scope whose holder performs duties that belong to no service.
constexpr std::string_view fleet_scope = "~duty";

/// A key that is equal on all instances of one deployment. It doesn't include
/// the store's address, which may change on some instances before others.
std::string peer_key_of(const node_settings& settings) {
    return "savorydock/" + std::to_string(settings.internal_port);
}

/// Absent if calls aren't placed by cost.
std::optional<placement_options> placement_of(const node_settings& settings) {
    return settings.must_place_by_cost
               ? std::optional(placement_options{
                     .seed = stable_hash(settings.instance.text())})
               : std::nullopt;
}

/// The port of tunnels, derived from the port for messages on all instances.
std::uint16_t tunnel_port_of(std::uint16_t internal_port) {
    return static_cast<std::uint16_t>(internal_port + 1);
}

std::uint64_t random_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

http_response make_text_answer(std::string text) {
    return {.status = 200,
            .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
            .body = std::move(text)};
}

} // namespace

class node_instance::impl final : public store_mirror_listener {
public:
    impl(node_settings settings, std::string settings_file, logger& log);

    outcome<bool> run();

    void on_changes(const std::vector<store_change>& changes,
                    bool is_reread) override;

private:
    std::vector<feed_subscription> subscriptions();
    [[nodiscard]] const key_copy& control_keys() const;
    void on_peer_message(const peer_message& message);
    void report_runs(const instance_id& planner, runner_update update);
    void apply_node_change(const store_change& change);
    void update_path_peers();
    [[nodiscard]] std::optional<endpoint>
    tunnel_address_of(const instance_id& peer) const;
    outcome<done> listen();
    /// Limit on the connections of callers.
    [[nodiscard]] std::uint32_t max_connections() const;
    void start();
    void on_fleet_update();
    void on_job_update();
    /// Notifies the planner of the job's service that the job was accepted or
    /// ended.
    void notify_planner(const job_record& record);
    /// The planner of the job's service; empty if none is known.
    [[nodiscard]] instance_id planner_of(const job_record& record) const;
    [[nodiscard]] instance_id
    planner_of_service(const service_name& service) const;
    /// The term in which this instance plans the job now, or 0.
    [[nodiscard]] store_revision own_term_of(const job_id& job) const;
    /// The instances that leave planning to others, because they feed a zone,
    /// have a small processor, are leaving or, as far as this one is concerned,
    /// reach no upstream.
    [[nodiscard]] std::set<instance_id> unsuited_planners() const;
    /// This instance's part of an upstream's request limit for calls that it
    /// sends by its own decision, not by that of a planner.
    [[nodiscard]] limit_part part_of_limit(const upstream_id& upstream,
                                           double requests_per_second,
                                           steady_time now);
    /// Tells the planner of an engine's service what limit the engine named.
    void report_limit(const upstream_id& upstream, std::optional<double> limit);
    /// Whether this instance should leave planning to another one.
    [[nodiscard]] bool is_outranked() const;
    /// How long to wait before a free scope is claimed; nothing while the
    /// instance must not claim it.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    claim_delay_of(std::string_view scope,
                   const instance_id& last_holder) const;
    /// Instances that may relay store calls: the feeder of the own zone first,
    /// then those of other zones. Feeders are connected to the store.
    [[nodiscard]] std::vector<instance_id> relay_candidates() const;
    /// The time between two writes of stream records, so that all instances
    /// together leave most of the store's writes to others.
    [[nodiscard]] std::chrono::milliseconds stream_record_interval() const;
    void handle_job_notice(const peer_message& message);
    void send_peer(const instance_id& to, peer_topic topic, std::string body);
    void on_signal(int signal);
    void watch_signals();
    void reload_settings(std::string_view cause);
    void complete_retirements();
    asio::awaitable<void> drain();
    asio::awaitable<void> pause(std::chrono::milliseconds time);
    asio::awaitable<void> check_settings();
    asio::awaitable<void> complete_retirement(std::string machine);
    asio::awaitable<void> answer_readiness(http_exchange& exchange);
    asio::awaitable<void> answer_metrics(http_exchange& exchange);

    node_settings settings_;
    const boot_clock::time_point process_start_ = boot_clock::now();
    std::string settings_file_;
    std::string settings_text_;
    logger& log_;
    memory_plan memory_plan_ = make_memory_plan(settings_.memory_bytes);
    /// Outlives the requests that the end of the process cuts, which are
    /// destroyed with `traffic_`.
    fleet_state fleet_;
    traffic_pool traffic_{1};
    asio::io_context& context_;
    seeded_random_source random_;
    metrics_registry metrics_;
    control_mailbox control_;
    store_client store_;
    limit_sharing limit_sharing_;
    upstream_paths paths_;
    std::shared_ptr<path_connector> connector_;
    /// Shared by the clients of all upstreams.
    std::shared_ptr<answer_memory> answer_memory_ =
        std::make_shared<answer_memory>(memory_plan_.answer_bytes);
    /// For orders, which must come from this machine and are never sent through
    /// another instance.
    http_client order_client_;
    /// An engine's stream must end by its framing. A plain service's answer
    /// without a length ends when its connection closes.
    http_client engine_client_;
    http_client plain_client_;
    plain_caller plain_;
    suspect_list suspects_;
    suspect_publisher suspect_publisher_;
    job_store jobs_;
    node_directory directory_;
    peer_link peers_;
    tunnel_server tunnels_;
    peer_store_relay relay_;
    result_exchange results_;
    item_runner runner_;
    run_host host_;
    fleet_mirror fleet_mirror_;
    work_sharing work_sharing_;
    store_feed feed_;
    node_registration registration_;
    scope_term fleet_term_;
    stream_duty stream_duty_;
    /// Null if the deployment has no duties towards the platform.
    std::unique_ptr<duty_driver> duties_;
    stream_ledger stream_ledger_;
    stream_forwarder streams_;
    front_service front_;
    std::map<service_name, std::unique_ptr<engine_driver>> engines_;
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<http_server> readiness_server_;
    std::unique_ptr<http_server> metrics_server_;
    asio::signal_set signals_;
    bool is_draining_ = false;
    steady_time started_at_ = std::chrono::steady_clock::now();
    std::set<std::string> handled_retirements_;
    std::promise<bool> drained_;
};

node_instance::impl::impl(node_settings settings, std::string settings_file,
                          logger& log)
    : settings_(std::move(settings))
    , settings_file_(std::move(settings_file))
    , log_(log)
    , fleet_{.pool = upstream_pool({.zone = settings_.zone,
                                    .divide_limit =
                                        [this](const upstream_id& upstream,
                                               double limit, steady_time now) {
                                            return part_of_limit(upstream,
                                                                 limit, now);
                                        },
                                    .by_cost = placement_of(settings_)})}
    , context_(traffic_.context(0))
    , random_(random_seed())
    , store_(context_, settings_.store, log)
    , limit_sharing_({.self = settings_.instance})
    , paths_({.self = settings_.instance, .zone = settings_.zone}, random_)
    , connector_(std::make_shared<path_connector>(
          context_, paths_,
          path_connector_options{.self = settings_.instance,
                                 .key = peer_key_of(settings_),
                                 .tunnel_of =
                                     [this](const instance_id& peer) {
                                         return tunnel_address_of(peer);
                                     }},
          log))
    , order_client_(context_, unframed_answer::refuse,
                    {.memory = answer_memory_})
    , engine_client_(context_, unframed_answer::refuse,
                     {.memory = answer_memory_}, connector_)
    , plain_client_(context_, unframed_answer::accept,
                    {.memory = answer_memory_}, connector_)
    , plain_(plain_client_, fleet_, random_, log)
    , suspects_(
          {.self = settings_.instance, .boot = std::to_string(random_seed())})
    , suspect_publisher_(context_, store_, suspects_, log)
    , jobs_(store_, log, memory_plan_.result_bytes)
    , peers_(context_,
             {.instance = settings_.instance,
              .zone = settings_.zone,
              .listen = {.address = settings_.address,
                         .port = settings_.internal_port},
              .peer_key = peer_key_of(settings_),
              .max_connections = max_peers,
              .max_incoming_bytes = memory_plan_.peer_bytes,
              .connect_timeout = peer_timeout,
              .answer_timeout = peer_timeout,
              .seed = random_seed()},
             log)
    , tunnels_(context_,
               {.listen = {.address = settings_.address,
                           .port = tunnel_port_of(settings_.internal_port)},
                .key = peer_key_of(settings_)},
               *connector_, log)
    , relay_(
          context_, store_, peers_, directory_, settings_.instance,
          [this] { return relay_candidates(); }, log)
    , results_(
          context_, jobs_, peers_, directory_, settings_.instance,
          {.planner_of =
               [this](const job_record& record) { return planner_of(record); },
           .own_term_of =
               [this](const job_id& job) { return own_term_of(job); }},
          log)
    , runner_(engine_client_, plain_, fleet_, log)
    , host_(
          context_, runner_, settings_.instance,
          [this](const instance_id& planner, runner_update update) {
              report_runs(planner, std::move(update));
          },
          [this](const job_id& job) {
              const auto record = jobs_.records().find(job);
              return record != jobs_.records().end() && record->second.is_ended;
          },
          log)
    , fleet_mirror_(
          context_, fleet_,
          {.on_fleet_update = [this] { on_fleet_update(); },
           .on_version =
               [this](const std::string& model, weight_version version) {
                   for (const auto& [name, engine] : engines_) {
                       engine->on_wanted_version(model, version);
                   }
               },
           .on_retirement =
               [this](const std::string&) { complete_retirements(); },
           .outage_ended_at = [this] { return feed_.outage_ended_at(); }},
          log)
    , work_sharing_(fleet_, peers_, directory_, settings_.instance, log)
    , feed_(context_, store_, peers_, directory_,
            {.self = settings_.instance,
             .zone = settings_.zone,
             .address = {.address = settings_.address,
                         .port = settings_.internal_port},
             .processor_share = settings_.processor_share,
             .change_bound = settings_.change_bound,
             .seed = random_seed(),
             .zone_work = [this] { return work_sharing_.zone_sums(); },
             .on_zone_work =
                 [this](const std::vector<upstream_sum>& sums,
                        const instance_id& feeder) {
                     work_sharing_.on_zone_sums(sums, feeder);
                 }},
            subscriptions(), log)
    , registration_(context_, store_,
                    {.instance = settings_.instance,
                     .zone = settings_.zone,
                     .address = {.address = settings_.address,
                                 .port = settings_.internal_port},
                     .processor_share = settings_.processor_share},
                    log)
    , fleet_term_(
          context_, store_,
          {.key = std::string(term_prefix) + std::string(fleet_scope),
           .self = settings_.instance,
           .lease_time = settings_.holder_separation,
           .processor_share = settings_.processor_share,
           .claim_delay =
               [this](const instance_id& last_holder) {
                   return claim_delay_of(fleet_scope, last_holder);
               },
           .settled_key =
               settings_.duties ? settled_term_key(fleet_scope) : std::string(),
           .process_start = process_start_,
           .seed = random_seed()},
          [this](const held_term&) {
              complete_retirements();
              stream_duty_.on_term_gained();
          },
          [](term_end) {}, log)
    , stream_duty_(
          context_, store_, fleet_, fleet_term_,
          [this] { return feed_.is_data_current(); }, {}, log)
    , stream_ledger_(
          context_, store_,
          {.write_interval = [this] { return stream_record_interval(); }}, log)
    , streams_(fleet_, engine_client_, stream_ledger_, random_, log)
    , front_(fleet_, plain_, streams_, jobs_, suspects_, metrics_, log,
             [this](const job_record& record) { notify_planner(record); })
    , signals_(context_, SIGTERM, SIGINT, SIGHUP) {
    connector_->on_change([this] {
        engine_client_.drop_unusable();
        plain_client_.drop_unusable();
    });
    fleet_.on_limit_changed = [this](const upstream_id& upstream,
                                     std::optional<double> limit) {
        report_limit(upstream, limit);
    };
    fleet_.find_view_age = [this] { return feed_.find_view_age(); };
    front_.set_revocation_bound(settings_.revocation_bound);
    if (settings_.duties) {
        duties_ = std::make_unique<duty_driver>(
            context_, store_, peers_, directory_, fleet_, fleet_term_,
            [this] { return find_scope_holder(control_keys(), fleet_scope); },
            settings_, random_seed(), log_);
    }
    store_.use_relay(relay_);
    jobs_.use_result_source(results_);
    if (auto text = read_text_file(settings_file_)) {
        settings_text_ = std::move(*text);
    }
}

std::vector<feed_subscription> node_instance::impl::subscriptions() {
    return {{std::string(platform::operator_prefix),
             &fleet_mirror_.operator_keys()},
            {std::string(platform::upstream_prefix),
             &fleet_mirror_.upstream_keys()},
            {std::string(control_prefix), this}};
}

const key_copy& node_instance::impl::control_keys() const {
    return feed_.copy_of(std::string(control_prefix));
}

outcome<done> node_instance::impl::listen() {
    const auto open = [&](std::unique_ptr<http_server>& server,
                          const endpoint& address, const caller_limits& limits,
                          std::size_t memory_bytes, std::string name,
                          http_handler handler) -> outcome<done> {
        server = std::make_unique<http_server>(
            traffic_, limits, std::move(handler),
            http_server_options{.memory_bytes = memory_bytes,
                                .name = std::move(name),
                                .log = &log_});
        const auto bound = server->listen(address);
        if (!bound) {
            log_.write(log_event::listener_failed, bound.reason().detail);
            return bound.reason();
        }
        return done{};
    };
    const caller_limits probe_limits{.max_connections = max_probe_connections,
                                     .max_body_bytes = max_probe_body_bytes};
    auto result = open(
        caller_server_, *settings_.caller_listen,
        caller_limits{.max_connections = max_connections()},
        memory_plan_.caller_bytes, "callers",
        [this](http_exchange& exchange) { return front_.handle(exchange); });
    caller_server_->set_limits_check(
        [this] { return feed_.find_view_age().is_current; });
    if (result && settings_.ready_listen) {
        result = open(readiness_server_, *settings_.ready_listen, probe_limits,
                      probe_memory_bytes, "readiness",
                      [this](http_exchange& exchange) {
                          return answer_readiness(exchange);
                      });
    }
    if (result) {
        peers_.on_message(
            [this](const peer_message& message) { on_peer_message(message); });
        const auto bound = peers_.start();
        if (!bound) {
            log_.write(log_event::listener_failed, bound.reason().detail);
            return bound.reason();
        }
        // Without its port the instance serves callers but helps no others.
        const auto tunnels_bound = tunnels_.start();
        if (!tunnels_bound) {
            log_.write(log_event::listener_failed,
                       tunnels_bound.reason().detail);
        }
    }
    if (result) {
        result = open(metrics_server_,
                      {.address = settings_.address, .port = metrics_port},
                      probe_limits, probe_memory_bytes, "metrics",
                      [this](http_exchange& exchange) {
                          return answer_metrics(exchange);
                      });
    }
    return result;
}

std::uint32_t node_instance::impl::max_connections() const {
    return max_caller_connections(settings_.max_descriptors,
                                  caller_limits{}.max_connections);
}

outcome<bool> node_instance::impl::run() {
    auto drained = drained_.get_future();
    const auto listening = listen();
    if (!listening) {
        return listening.reason();
    }
    asio::post(context_, [this] { start(); });
    const bool is_clean = drained.get();
    control_.stop();
    traffic_.stop();
    log_.write(log_event::instance_stopped,
               std::string("clean=") + (is_clean ? "yes" : "no"));
    return is_clean;
}

void node_instance::impl::start() {
    log_.write(log_event::instance_started,
               "zone=" + settings_.zone.text() +
                   " callers=" + to_text(*settings_.caller_listen) +
                   " store=" + to_text(settings_.store.address));
    watch_signals();
    feed_.start();
    asio::co_spawn(context_, registration_.run(), asio::detached);
    asio::co_spawn(context_, fleet_term_.run(), asio::detached);
    asio::co_spawn(context_, suspect_publisher_.run(), asio::detached);
    asio::co_spawn(context_, check_settings(), asio::detached);
    if (duties_) {
        duties_->start();
    }
}

void node_instance::impl::on_fleet_update() {
    if (!fleet_.routes) {
        return;
    }
    std::vector<endpoint> addresses;
    for (const upstream_entry& upstream : fleet_.upstreams) {
        addresses.push_back(upstream.address);
    }
    paths_.set_upstreams(addresses);
    const fleet_configuration& configuration = fleet_.routes->configuration();
    caller_server_->set_limits(
        {.max_connections = max_connections(),
         .max_header_bytes = configuration.bounds.max_header_bytes,
         .max_body_bytes = configuration.bounds.max_body_bytes,
         .io_timeout = configuration.bounds.idle_timeout,
         .header_timeout = configuration.bounds.header_timeout});
    for (const service_rule& service : configuration.services) {
        if (!service.engine || engines_.contains(service.name)) {
            continue;
        }
        auto driver = std::make_unique<engine_driver>(
            context_, control_, store_, jobs_, order_client_, host_, peers_,
            directory_, fleet_, [this] { return feed_.is_data_current(); },
            log_,
            engine_driver_options{
                .service = service.name,
                .self = settings_.instance,
                .processor_share = settings_.processor_share,
                .lease_time = settings_.holder_separation,
                .claim_delay =
                    [this, scope = term_key(service.name)](
                        const instance_id& last_holder) {
                        return claim_delay_of(scope, last_holder);
                    },
                .is_outranked = [this] { return is_outranked(); },
                .on_demand = duties_ ? duties_->demand_handler() : nullptr,
                .process_start = process_start_,
                .seed = random_seed()});
        driver->start();
        for (const auto& [model, version] : fleet_mirror_.wanted_versions()) {
            driver->on_wanted_version(model, version);
        }
        if (control_keys().has_snapshot()) {
            const auto& keys = control_keys().values();
            const auto key = keys.find(term_key(service.name));
            driver->on_term_key(key == keys.end() ? nullptr : &key->second,
                                control_keys().revision());
        }
        engines_[service.name] = std::move(driver);
    }
    for (const auto& [name, engine] : engines_) {
        engine->on_fleet_changed();
    }
}

void node_instance::impl::on_job_update() {
    for (const auto& [name, engine] : engines_) {
        engine->on_jobs_changed();
    }
}

void node_instance::impl::notify_planner(const job_record& record) {
    on_job_update();
    const instance_id planner = planner_of(record);
    if (planner != settings_.instance) {
        send_peer(planner, peer_topic::job_notice,
                  wire::encode(job_notice{
                      .job = record.id, .record = encode_job_record(record)}));
    }
}

instance_id node_instance::impl::planner_of(const job_record& record) const {
    return planner_of_service(record.service);
}

instance_id
node_instance::impl::planner_of_service(const service_name& service) const {
    const auto& keys = control_keys().values();
    const auto term = keys.find(term_key(service));
    return term == keys.end() ? instance_id() : holder_of(term->second.value);
}

store_revision node_instance::impl::own_term_of(const job_id& job) const {
    for (const auto& [name, engine] : engines_) {
        if (const store_revision term = engine->term_of(job)) {
            return term;
        }
    }
    return 0;
}

std::set<instance_id> node_instance::impl::unsuited_planners() const {
    double largest = 0;
    for (const auto& [instance, entry] : directory_) {
        largest = std::max(largest, entry.processor_share);
    }
    std::set<instance_id> unsuited;
    for (const auto& [instance, entry] : directory_) {
        if (entry.is_leaving ||
            entry.processor_share < min_relative_planner_share * largest) {
            unsuited.insert(instance);
        }
    }
    for (const zone_feeder& feeder :
         other_feeders(control_keys().values(), instance_id())) {
        unsuited.insert(feeder.instance);
    }
    // Orders to engines don't go through peers.
    if (paths_.is_isolated()) {
        unsuited.insert(settings_.instance);
    }
    return unsuited;
}

limit_part node_instance::impl::part_of_limit(const upstream_id& upstream,
                                              double requests_per_second,
                                              steady_time now) {
    const auto entry = std::find_if(
        fleet_.upstreams.begin(), fleet_.upstreams.end(),
        [&](const upstream_entry& listed) { return listed.id == upstream; });
    const bool is_shared = entry != fleet_.upstreams.end() && fleet_.routes &&
                           fleet_.routes->has_batch_route(entry->service);
    return limit_sharing_.part_of(upstream,
                                  is_shared ? shared_limit_fraction *
                                                  requests_per_second
                                            : requests_per_second,
                                  now);
}

void node_instance::impl::report_limit(const upstream_id& upstream,
                                       std::optional<double> limit) {
    const auto entry = std::find_if(
        fleet_.upstreams.begin(), fleet_.upstreams.end(),
        [&](const upstream_entry& listed) { return listed.id == upstream; });
    if (entry == fleet_.upstreams.end() || !engines_.contains(entry->service)) {
        return;
    }
    const instance_id planner = planner_of_service(entry->service);
    if (!planner.is_empty()) {
        host_.on_limit_observed(planner, entry->service, upstream, limit);
    }
}

bool node_instance::impl::is_outranked() const {
    const auto unsuited = unsuited_planners();
    return unsuited.contains(settings_.instance) &&
           std::any_of(
               directory_.begin(), directory_.end(),
               [&](const auto& row) { return !unsuited.contains(row.first); });
}

std::optional<std::chrono::milliseconds>
node_instance::impl::claim_delay_of(std::string_view scope,
                                    const instance_id& last_holder) const {
    if (is_draining_) {
        return std::nullopt;
    }
    const auto unsuited = unsuited_planners();
    const auto is_last = [&](const node_entry& entry) {
        return unsuited.contains(entry.instance);
    };
    const auto delay =
        claim_delay(directory_, scope, last_holder,
                    {.self = settings_.instance, .is_last = is_last});
    if (!delay) {
        return std::nullopt;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - started_at_);
    return *delay +
           std::max(directory_fill_time - age, std::chrono::milliseconds(0));
}

std::vector<instance_id> node_instance::impl::relay_candidates() const {
    std::vector<instance_id> own;
    std::vector<instance_id> others;
    for (const zone_feeder& feeder :
         other_feeders(control_keys().values(), settings_.instance)) {
        (feeder.zone == settings_.zone ? own : others)
            .push_back(feeder.instance);
    }
    // Each instance starts with a different feeder to spread the load.
    if (!others.empty()) {
        const auto first =
            stable_hash(settings_.instance.text()) % others.size();
        std::rotate(others.begin(),
                    others.begin() + static_cast<std::ptrdiff_t>(first),
                    others.end());
    }
    own.insert(own.end(), others.begin(), others.end());
    return own;
}

std::chrono::milliseconds node_instance::impl::stream_record_interval() const {
    const double writes_per_second =
        stream_record_share * store_.limits().writes_per_second;
    if (writes_per_second <= 0) {
        return std::chrono::milliseconds(0);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(static_cast<double>(directory_.size()) /
                                      writes_per_second));
}

void node_instance::impl::handle_job_notice(const peer_message& message) {
    const auto notice = wire::decode<job_notice>(message.body);
    if (!notice) {
        log_.write(log_event::job_unreadable, "from=" + message.from.text() +
                                                  " reason=\"" +
                                                  notice.reason().detail + '"');
        return;
    }
    auto record = decode_job_record(job_key(notice->job), notice->record);
    if (!record) {
        log_.write(log_event::job_unreadable, "job=" + notice->job.text() +
                                                  " reason=\"" +
                                                  record.reason().detail + '"');
        return;
    }
    jobs_.on_record(notice->job, std::move(*record));
    on_job_update();
}

void node_instance::impl::send_peer(const instance_id& to, peer_topic topic,
                                    std::string body) {
    const auto entry = directory_.find(to);
    if (entry != directory_.end()) {
        peers_.send({.from = settings_.instance,
                     .to = to,
                     .topic = topic,
                     .body = std::move(body)},
                    entry->second.address);
    }
}

void node_instance::impl::on_changes(const std::vector<store_change>& changes,
                                     bool is_reread) {
    bool has_jobs = false;
    bool has_nodes = false;
    std::set<std::string> changed_keys;
    for (const store_change& change : changes) {
        const std::string& key = change.value.key;
        if (key.starts_with(node_prefix)) {
            apply_node_change(change);
            has_nodes = true;
            continue;
        }
        if (key.starts_with(suspect_prefix)) {
            suspect_publisher_.on_change(change);
            continue;
        }
        if (key == stream_defaults_key) {
            stream_ledger_.on_defaults_change(change);
            continue;
        }
        if (!key.starts_with(job_prefix)) {
            changed_keys.insert(key);
            continue;
        }
        has_jobs = true;
        const job_id id(key.substr(job_prefix.size()));
        if (change.is_removed) {
            jobs_.on_record(id, std::nullopt);
            continue;
        }
        auto record = decode_job_record(key, change.value.value);
        if (!record) {
            log_.write(log_event::job_unreadable, "key=" + key + " reason=\"" +
                                                      record.reason().detail +
                                                      '"');
            continue;
        }
        jobs_.on_record(id, std::move(*record));
    }
    if (has_nodes) {
        update_path_peers();
    }
    const auto update_term = [&](const std::string& key, auto& term) {
        if (!is_reread && !changed_keys.contains(key)) {
            return;
        }
        const auto& keys = control_keys().values();
        const auto value = keys.find(key);
        term.on_term_key(value == keys.end() ? nullptr : &value->second,
                         control_keys().revision());
    };
    for (const auto& [name, engine] : engines_) {
        update_term(term_key(name), *engine);
    }
    struct term_adapter {
        scope_term& term;
        void on_term_key(const stored_value* value, store_revision revision) {
            term.on_key(value, revision);
        }
    } adapter{fleet_term_};
    update_term(std::string(term_prefix) + std::string(fleet_scope), adapter);
    update_term(feed_.term_key(), feed_);
    if (has_jobs) {
        on_job_update();
    }
}

void node_instance::impl::apply_node_change(const store_change& change) {
    const std::string& key = change.value.key;
    const instance_id instance(key.substr(node_prefix.size()));
    if (change.is_removed) {
        directory_.erase(instance);
        limit_sharing_.on_instance_removed(instance,
                                           std::chrono::steady_clock::now());
        return;
    }
    auto entry = decode_node_entry(key, change.value.value);
    if (!entry) {
        log_.write(log_event::upstream_entry_ignored,
                   "key=" + key + " reason=\"" + entry.reason().detail + '"');
        return;
    }
    directory_[instance] = std::move(*entry);
    limit_sharing_.on_instance_added(instance);
}

void node_instance::impl::update_path_peers() {
    std::vector<path_peer> peers;
    for (const auto& [instance, entry] : directory_) {
        if (!entry.is_leaving) {
            peers.push_back({.instance = instance, .zone = entry.zone});
        }
    }
    paths_.set_peers(peers);
}

std::optional<endpoint>
node_instance::impl::tunnel_address_of(const instance_id& peer) const {
    const auto entry = directory_.find(peer);
    if (entry == directory_.end()) {
        return std::nullopt;
    }
    endpoint address = entry->second.address;
    address.port = tunnel_port_of(address.port);
    return address;
}

void node_instance::impl::on_peer_message(const peer_message& message) {
    switch (message.topic) {
    case peer_topic::feed_push:
    case peer_topic::feed_heartbeat:
    case peer_topic::feed_request:
        feed_.on_message(message);
        break;
    case peer_topic::work_report:
        work_sharing_.on_message(message);
        break;
    case peer_topic::runner_command: {
        auto order = wire::decode<runner_command>(message.body);
        if (order) {
            host_.on_order(message.from, std::move(*order));
        }
        break;
    }
    case peer_topic::run_report: {
        auto update = wire::decode<runner_update>(message.body);
        const auto engine =
            update ? engines_.find(update->service) : engines_.end();
        if (engine != engines_.end()) {
            engine->second->on_run_update(message.from, std::move(*update));
        }
        break;
    }
    case peer_topic::store_call:
    case peer_topic::store_answer:
        relay_.on_message(message);
        break;
    case peer_topic::job_notice:
        handle_job_notice(message);
        break;
    case peer_topic::result_request:
    case peer_topic::result_reply:
        results_.on_message(message);
        break;
    case peer_topic::usage_counts:
    case peer_topic::usage_receipt:
    case peer_topic::worker_demand:
        if (duties_) {
            duties_->on_message(message);
        }
        break;
    default:
        break;
    }
}

void node_instance::impl::report_runs(const instance_id& planner,
                                      runner_update update) {
    if (planner == settings_.instance) {
        const auto engine = engines_.find(update.service);
        if (engine != engines_.end()) {
            engine->second->on_run_update(planner, std::move(update));
        }
        return;
    }
    for (const runner_update& part :
         split(std::move(update), max_report_bytes)) {
        send_peer(planner, peer_topic::run_report, wire::encode(part));
    }
}

void node_instance::impl::complete_retirements() {
    if (!fleet_term_.term()) {
        return;
    }
    for (const std::string& machine : fleet_mirror_.retirements()) {
        if (handled_retirements_.insert(machine).second) {
            asio::co_spawn(context_, complete_retirement(machine),
                           asio::detached);
        }
    }
}

/// Reports a store machine as emptied. The service keeps nothing on store
/// machines, so there is nothing to move first.
asio::awaitable<void>
node_instance::impl::complete_retirement(std::string machine) {
    const std::string key = platform::retirement_status_key(machine);
    const std::string value = platform::retirement_completed_value();
    while (fleet_term_.term()) {
        store_transaction transaction =
            make_write({.key = fleet_term_.term()->key,
                        .revision = fleet_term_.term()->revision},
                       {.key = key, .value = value});
        const auto result = co_await store_.commit(std::move(transaction));
        if (result && std::holds_alternative<transaction_done>(*result)) {
            log_.write(log_event::store_machine_emptied, "machine=" + machine);
            co_return;
        }
        asio::steady_timer timer(context_);
        timer.expires_after(settings_.holder_separation / 10);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    handled_retirements_.erase(machine);
}

void node_instance::impl::watch_signals() {
    signals_.async_wait(
        [this](const boost::system::error_code& error, int signal) {
            if (!error) {
                on_signal(signal);
                watch_signals();
            }
        });
}

void node_instance::impl::on_signal(int signal) {
    if (signal == SIGHUP) {
        reload_settings("signal");
        return;
    }
    if (is_draining_) {
        return;
    }
    is_draining_ = true;
    // The grace may have changed without a signal.
    reload_settings("drain");
    log_.write(log_event::drain_started,
               "requests=" + std::to_string(caller_server_->active_requests()));
    asio::co_spawn(context_, drain(), asio::detached);
}

asio::awaitable<void> node_instance::impl::drain() {
    const steady_time begin = std::chrono::steady_clock::now();
    caller_server_->announce_close();
    connector_->stop_helping();
    for (const auto& [name, engine] : engines_) {
        asio::co_spawn(context_, engine->drain(commit_drain_time),
                       asio::detached);
    }
    asio::co_spawn(context_, fleet_term_.retire(), asio::detached);
    asio::co_spawn(context_, feed_.retire(), asio::detached);
    asio::co_spawn(context_, registration_.announce_leaving(), asio::detached);
    const steady_time last = begin + settings_.shutdown_grace - exit_margin;
    front_.set_exit_time(last);
    // When the reports of stopped runs should have reached their planners.
    std::optional<steady_time> reported_at;
    while (true) {
        const steady_time now = std::chrono::steady_clock::now();
        const bool is_idle = caller_server_->active_requests() == 0;
        const bool has_runs =
            host_.statistics().active > 0 && now < begin + run_drain_time;
        const bool is_due =
            now >= begin + rotation_exit_time - report_delivery_time;
        if (!reported_at && ((!has_runs && is_due) || now >= last)) {
            host_.stop_all();
            if (duties_) {
                duties_->flush();
            }
            // Doesn't wait: the store may not answer, and the entry's lease
            // expires anyway.
            asio::co_spawn(context_, registration_.retire(), asio::detached);
            reported_at = now + report_delivery_time;
        }
        const bool may_exit = is_idle && tunnels_.active_tunnels() == 0 &&
                              now >= begin + rotation_exit_time;
        if (reported_at && now >= *reported_at && (may_exit || now >= last)) {
            // Must not suspend before this call: a request that arrived on an
            // open connection meanwhile would be cut off.
            caller_server_->stop_accepting();
            do {
                co_await pause(drain_check_interval);
            } while (caller_server_->active_requests() > 0 &&
                     std::chrono::steady_clock::now() < now + last_answer_time);
            if (duties_) {
                duties_->flush();
            }
            log_.write(log_event::drain_finished,
                       "requests_cut=" +
                           std::to_string(caller_server_->active_requests()));
            drained_.set_value(is_idle);
            co_return;
        }
        co_await pause(drain_check_interval);
    }
}

asio::awaitable<void>
node_instance::impl::pause(std::chrono::milliseconds time) {
    asio::steady_timer timer(context_);
    timer.expires_after(time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void node_instance::impl::reload_settings(std::string_view cause) {
    auto text = read_text_file(settings_file_);
    if (!text) {
        log_.write(log_event::settings_invalid, text.reason().detail);
        return;
    }
    if (*text == settings_text_) {
        return;
    }
    settings_text_ = std::move(*text);
    const auto reloaded = platform::read_settings(settings_text_);
    if (!reloaded) {
        log_.write(log_event::settings_invalid, reloaded.reason().detail);
        return;
    }
    store_.set_limits(reloaded->store);
    settings_.shutdown_grace = reloaded->shutdown_grace;
    settings_.store = reloaded->store;
    log_.write(log_event::settings_reloaded,
               "cause=" + std::string(cause) +
                   " store=" + to_text(reloaded->store.address));
}

asio::awaitable<void> node_instance::impl::check_settings() {
    while (true) {
        asio::steady_timer timer(context_);
        timer.expires_after(settings_check_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        reload_settings("change");
    }
}

asio::awaitable<void>
node_instance::impl::answer_readiness(http_exchange& exchange) {
    const bool is_ready = fleet_.routes && !is_draining_;
    http_response response =
        is_ready ? http_response{.status = 200}
                 : platform::make_local_response(
                       503, is_draining_ ? "draining" : "no configuration");
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void>
node_instance::impl::answer_metrics(http_exchange& exchange) {
    std::map<service_name, engine_statistics> engines;
    for (const auto& [name, engine] : engines_) {
        engines[name] = engine->statistics();
    }
    std::string text = write_node_metrics(
        {.front = front_.counters(),
         .identities = front_.identities(),
         .store = store_.counters(),
         .is_store_reachable = store_.is_reachable(),
         .configuration_version =
             fleet_.routes ? fleet_.routes->configuration().version : 0,
         .upstreams = fleet_.upstreams.size(),
         .active_requests = caller_server_->active_requests(),
         .connections = caller_server_->open_connections(),
         .callers = caller_server_->counters(),
         .is_feeder = feed_.is_feeder(),
         .is_following = feed_.is_following(),
         .view = feed_.find_view_age(),
         .peers = peers_.counters(),
         .is_isolated = paths_.is_isolated(),
         .tunnels = tunnels_.counters(),
         .tunnels_used = connector_->tunnels_used(),
         .runs = host_.statistics(),
         .result_reads = jobs_.result_reads(),
         .attempts = fleet_.attempts,
         .placement = fleet_.pool.by_cost() != nullptr
                          ? std::optional(fleet_.pool.by_cost()->counters())
                          : std::nullopt,
         .engines = engines});
    text += duties_ ? duties_->write_metrics() : std::string();
    http_response response =
        make_text_answer(std::move(text) + metrics_.write_text());
    co_await exchange.respond(std::move(response));
}

node_instance::node_instance(node_settings settings, std::string settings_file,
                             logger& log)
    : impl_(std::make_unique<impl>(std::move(settings),
                                   std::move(settings_file), log)) {}

node_instance::~node_instance() = default;

outcome<bool> node_instance::run() {
    return impl_->run();
}

} // namespace savorydock
