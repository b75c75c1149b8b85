#pragma once

#include "core/logger.hpp"
#include "drivers/batch/job_store.hpp"
#include "drivers/batch/run_host.hpp"
#include "drivers/caf_runtime/control_mailbox.hpp"
#include "drivers/peer/peer_transport.hpp"
#include "drivers/store/scope_term.hpp"
#include "servers/batch/engine_control.hpp"
#include "servers/batch/runner_pool.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace savorydock {

struct engine_driver_options {
    service_name service;
    instance_id self;
    double processor_share = 1.0;
    std::chrono::milliseconds lease_time{3'000};
    /// Whether another instance fits the planner's duty better.
    std::function<bool()> should_yield = [] { return false; };
    std::uint64_t seed = 1;
};

/// Figures of one engine service on this instance, for the metrics.
struct engine_figures {
    store_revision term = 0;
    std::uint64_t results_listed = 0;
    std::uint64_t orders_sent = 0;
};

/// Carries out the control of one engine service: competes for its term, runs
/// what the planner starts, lists results and gives orders. Its methods belong
/// to the traffic thread; the decisions run on the control thread.
class engine_driver {
public:
    /// All references must outlive the driver's context.
    engine_driver(boost::asio::io_context& context, control_mailbox& control,
                  store_client& store, job_store& jobs, http_client& engines,
                  run_host& host, peer_transport& peers,
                  const node_directory& directory, fleet_state& fleet,
                  std::function<bool()> is_informed, logger& log,
                  engine_driver_options options);

    /// Starts to compete for the term. Precondition: called once.
    void start();

    /// The key of the service's term as the mirror sees it.
    void on_term_key(const stored_value* value);
    void on_jobs_changed();
    void on_fleet_changed();
    void on_wanted_version(const std::string& model, weight_version version);

    /// An instance that runs items for this planner told what came.
    void on_runner_update(const instance_id& runner, runner_update news);

    /// Starts nothing new, lists what is ready for at most `time` and then
    /// gives the term up. Runs go on for the next planner.
    boost::asio::awaitable<void> drain(std::chrono::milliseconds time);

    [[nodiscard]] engine_figures figures() const;

private:
    using decision =
        std::function<void(engine_control&, steady_time, engine_commands&)>;

    void decide(decision step);
    void carry_out(engine_commands commands);
    void carry_out_one(start_run& command);
    void carry_out_one(stop_run& command);
    void carry_out_one(release_run& command);
    void carry_out_one(start_scoring& command);
    void carry_out_one(commit_results& command);
    void carry_out_one(save_progress& command);
    void send_orders();
    void send_order_to(const instance_id& runner, runner_command order);
    void watch_runners();
    /// Asks all instances for what they hold of an earlier planner's runs.
    void begin_takeover();
    void take_held(const instance_id& runner, std::vector<held_run> held);
    [[nodiscard]] run_task make_task(const start_run& command) const;
    [[nodiscard]] run_task make_task(const start_scoring& command) const;
    void wake_at(std::optional<steady_time> time);
    void on_gained(const held_term& term);
    void on_lost(term_end reason);
    [[nodiscard]] bool is_own_job(const job_record& record) const;
    [[nodiscard]] job_settings job_settings_of(const job_record& record) const;
    [[nodiscard]] const upstream_entry*
    find_upstream(const upstream_id& id) const;

    boost::asio::awaitable<void> load_job(job_record record);
    boost::asio::awaitable<void> save(save_progress progress);
    boost::asio::awaitable<void> commit(commit_results results);
    boost::asio::awaitable<void> send_order(version_order order);
    boost::asio::awaitable<void> ask_load(upstream_id upstream);

    boost::asio::io_context& context_;
    control_mailbox& mailbox_;
    store_client& store_;
    job_store& jobs_;
    http_client& engines_;
    fleet_state& fleet_;
    logger& log_;
    run_host& host_;
    peer_transport& peers_;
    const node_directory& directory_;
    /// Whether the instance's news of the fleet are fresh.
    std::function<bool()> is_informed_;
    engine_driver_options options_;
    runner_pool runners_;
    /// Orders to runners that are gathered during one step.
    std::map<instance_id, runner_command> orders_;
    /// Where whole texts and scores are kept until they are listed.
    std::map<run_ticket, instance_id> kept_on_;
    /// What may be dropped, until there is an order to send it with.
    std::map<instance_id, std::vector<run_ticket>> released_;
    /// The term that runs were taken over for last.
    store_revision last_term_ = 0;
    /// Instances that have not told yet what they hold.
    std::set<instance_id> awaited_;
    scope_term term_;
    /// Touched on the control thread only.
    engine_control control_;
    /// Jobs that the planner has, or that are being loaded for it.
    std::set<job_id> taken_;
    std::set<job_id> loading_;
    boost::asio::steady_timer wake_timer_;
    boost::asio::steady_timer runner_timer_;
    bool is_runner_timed_ = false;
    std::size_t commits_in_progress_ = 0;
    engine_figures figures_;
};

} // namespace savorydock
