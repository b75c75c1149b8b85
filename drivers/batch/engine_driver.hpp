#pragma once

#include "core/logger.hpp"
#include "drivers/batch/item_runner.hpp"
#include "drivers/batch/job_store.hpp"
#include "drivers/caf_runtime/control_mailbox.hpp"
#include "drivers/store/scope_term.hpp"
#include "servers/batch/engine_control.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
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
    std::uint64_t seed = 1;
};

/// Figures of one engine service on this instance, for the metrics.
struct engine_figures {
    store_revision term = 0;
    std::size_t runs = 0;
    std::uint64_t runs_started = 0;
    std::uint64_t runs_interrupted = 0;
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
                  plain_caller& scorers, fleet_state& fleet, logger& log,
                  engine_driver_options options);

    /// Starts to compete for the term. Precondition: called once.
    void start();

    /// The key of the service's term as the mirror sees it.
    void on_term_key(const stored_value* value);
    void on_jobs_changed();
    void on_fleet_changed();
    void on_wanted_version(const std::string& model, weight_version version);

    /// Starts nothing new, lets runs finish for at most `time` and then gives
    /// the term up.
    boost::asio::awaitable<void> drain(std::chrono::milliseconds time);

    [[nodiscard]] engine_figures figures() const;

private:
    struct active_run {
        boost::asio::cancellation_signal cancel;
        std::shared_ptr<run_record> record;
        std::uint64_t reported_events = 0;
    };

    using decision =
        std::function<void(engine_control&, steady_time, engine_commands&)>;

    void decide(decision step);
    void carry_out(engine_commands commands);
    void carry_out_one(start_run& command);
    void carry_out_one(stop_run& command);
    void carry_out_one(start_scoring& command);
    void carry_out_one(commit_results& command);
    void wake_at(std::optional<steady_time> time);
    void report_progress();
    void on_gained(const held_term& term);
    void on_lost(term_end reason);
    [[nodiscard]] bool is_own_job(const job_record& record) const;
    [[nodiscard]] job_terms terms_of(const job_record& record) const;
    [[nodiscard]] const upstream_entry*
    find_upstream(const upstream_id& id) const;

    boost::asio::awaitable<void> load_job(job_record record);
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
    engine_driver_options options_;
    item_runner runner_;
    scope_term term_;
    /// Touched on the control thread only.
    engine_control control_;
    std::map<run_ticket, std::shared_ptr<active_run>> runs_;
    /// Jobs that the planner has, or that are being loaded for it.
    std::set<job_id> taken_;
    std::set<job_id> loading_;
    boost::asio::steady_timer wake_timer_;
    boost::asio::steady_timer progress_timer_;
    bool is_progress_timed_ = false;
    std::size_t commits_in_progress_ = 0;
    engine_figures figures_;
};

} // namespace savorydock
