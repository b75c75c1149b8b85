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
    /// See `scope_term_options::claim_delay`.
    std::function<std::optional<std::chrono::milliseconds>(const instance_id&)>
        claim_delay =
            [](const instance_id&) { return std::chrono::milliseconds(0); };
    /// Whether an instance that is better suited to be the planner is there.
    std::function<bool()> is_outranked = [] { return false; };
    /// Receives the open work each second and when a job arrives; empty if
    /// nobody needs it.
    std::function<void(const worker_demand&)> on_demand;
    /// See `scope_term_options::process_start`.
    std::optional<boot_clock::time_point> process_start;
    std::uint64_t seed = 1;
};

/// Statistics of one engine service on this instance, for the metrics.
struct engine_statistics {
    store_revision term = 0;
    std::uint64_t results_listed = 0;
    std::uint64_t orders_sent = 0;
    /// Runs and scorings that were stopped because the planner didn't know
    /// them.
    std::uint64_t unknown_runs_stopped = 0;
    /// Items that engines refused as if full, and engines that were reserved
    /// for an item.
    std::uint64_t items_refused = 0;
    std::uint64_t engines_reserved = 0;
};

/// Connects the control of one engine service to the network and the store:
/// competes for the service's term, assigns the runs that the planner starts to
/// instances, lists results and sends version orders to engines.
///
/// All methods must be called on the traffic thread. The planner and the
/// roll-out run on the control thread.
class engine_driver {
public:
    /// All references must outlive `context`.
    engine_driver(boost::asio::io_context& context, control_mailbox& control,
                  store_client& store, job_store& jobs, http_client& engines,
                  run_host& host, peer_transport& peers,
                  const node_directory& directory, fleet_state& fleet,
                  std::function<bool()> is_data_current, logger& log,
                  engine_driver_options options);

    /// Starts competing for the term. Precondition: called once.
    void start();

    /// The key of the service's term changed in the local copy of the store;
    /// nullptr if the key doesn't exist.
    void on_term_key(const stored_value* value, store_revision revision);
    void on_jobs_changed();
    void on_fleet_changed();
    void on_wanted_version(const std::string& model, weight_version version);

    /// Handles an update from an instance that runs items for this planner.
    void on_run_update(const instance_id& runner, runner_update update);

    /// Stops starting runs, lists finished results for at most `time` and then
    /// gives up the term. Active runs continue under the next planner.
    boost::asio::awaitable<void> drain(std::chrono::milliseconds time);

    /// Returns the term in which this instance plans the job now, or 0. Checks
    /// the lease, also against the time that the machine was suspended. 0 for
    /// jobs that were accepted for another service or have been there.
    [[nodiscard]] store_revision term_of(const job_id& job) const;

    [[nodiscard]] engine_statistics statistics() const;

private:
    using control_step =
        std::function<void(engine_control&, steady_time, engine_commands&)>;

    /// Runs a step on the control thread, then executes its commands on the
    /// traffic thread.
    void post_step(control_step step);
    void execute(engine_commands commands);
    void execute_one(start_run& command);
    void execute_one(stop_run& command);
    void execute_one(release_run& command);
    void execute_one(start_scoring& command);
    void execute_one(commit_results& command);
    void execute_one(discard_text& command);
    void execute_one(item_refusal& refusal);
    void execute_one(probation_change& change);
    void execute_one(reserve_engine& command);
    void execute_one(unknown_runs& command);
    void execute_one(order_change& change);
    /// Releases the term when another instance should plan.
    boost::asio::awaitable<void> hand_over_if_outranked();
    void send_orders();
    void send_order_to(const instance_id& runner, runner_command order);
    void schedule_runner_check();
    /// Requests from all instances the runs and results of earlier terms that
    /// they hold.
    void begin_takeover();
    /// Forgets which instance has which run. Call it only when the planner has
    /// dropped its runs: a run in one of the two tables only is never missed.
    void reset_run_tables();
    /// Handles progress of runs whose runner was taken for lost.
    void adopt_found_runs(const instance_id& runner,
                          const runner_update& update, steady_time now);
    /// Whether the runner may still report its runs of earlier terms, so that
    /// the planner doesn't know all of its runs yet.
    [[nodiscard]] bool is_takeover_open(const instance_id& runner,
                                        steady_time now) const;
    /// Runners refused items because these jobs have ended.
    void on_ends_reported(const std::vector<job_id>& ended);
    /// `has_more`: another part of the runner's answer follows.
    void adopt_held_runs(const instance_id& runner, std::vector<held_run> held,
                         bool has_more);
    [[nodiscard]] run_task make_task(const start_run& command) const;
    [[nodiscard]] run_task make_task(const start_scoring& command) const;
    void wake_at(std::optional<steady_time> time);
    void report_demand();
    boost::asio::awaitable<void> report_demand_regularly();
    void on_gained(const held_term& term);
    void on_lost(term_end reason);
    /// Whether this service plans the job under the current configuration.
    [[nodiscard]] bool is_own_job(const job_record& record) const;
    /// Whether this service plans the job and it has not ended.
    [[nodiscard]] bool is_open(const job_record& record) const;
    [[nodiscard]] job_settings job_settings_of(const job_record& record) const;
    [[nodiscard]] const upstream_entry*
    find_upstream(const upstream_id& id) const;

    boost::asio::awaitable<void> load_job(job_record record);
    boost::asio::awaitable<void> save(std::vector<save_progress> texts);
    boost::asio::awaitable<void> commit(commit_results results);
    /// Logs and returns from when on this new holder may send orders.
    [[nodiscard]] order_delays find_order_delays() const;
    /// Whether the order may be written now.
    [[nodiscard]] bool may_send(const version_order& order) const;
    boost::asio::awaitable<void> send_order(version_order order);
    boost::asio::awaitable<void> request_load(upstream_id upstream);

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
    /// Whether this instance's copy of the fleet's state is up to date.
    std::function<bool()> is_data_current_;
    engine_driver_options options_;
    runner_pool runners_;
    /// Orders to runners, collected during one step.
    std::map<instance_id, runner_command> orders_;
    /// The instance that keeps each complete text or score until it is listed.
    std::map<run_ticket, instance_id> result_locations_;
    /// Tickets whose results may be dropped, sent with the next order to the
    /// instance that keeps them.
    std::map<instance_id, std::vector<run_ticket>> pending_releases_;
    /// Runs whose runner was taken for lost, and that it hasn't reported since.
    std::set<run_ticket> lost_runs_;
    /// The planner has dropped its runs since the last term.
    bool has_dropped_runs_ = true;
    steady_time gained_at_{};
    /// The last term for which a takeover was started.
    store_revision last_term_ = 0;
    /// Instances that have not answered the takeover yet.
    std::set<instance_id> unanswered_takeovers_;
    /// Runs in the parts of answers to the takeover that have arrived.
    std::map<instance_id, std::set<run_ticket>> reported_runs_;
    scope_term term_;
    /// Used on the control thread only.
    engine_control control_;
    /// Jobs that the planner has.
    std::set<job_id> planned_jobs_;
    /// Jobs that the planner has received from the store in this term.
    std::set<job_id> loaded_jobs_;
    /// Jobs accepted for this service whose route led to another one since.
    std::set<job_id> moved_jobs_;
    /// Jobs that are being loaded for the planner.
    std::set<job_id> loading_jobs_;
    boost::asio::steady_timer wake_timer_;
    boost::asio::steady_timer runner_timer_;
    bool is_runner_timer_set_ = false;
    std::size_t commits_in_progress_ = 0;
    std::size_t orders_in_progress_ = 0;
    bool is_draining_ = false;
    engine_statistics statistics_;
};

} // namespace savorydock
