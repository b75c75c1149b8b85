#pragma once

#include "core/logger.hpp"
#include "drivers/batch/item_runner.hpp"
#include "servers/batch/kept_results.hpp"
#include "servers/batch/run_message.hpp"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace savorydock {

/// Statistics of the runs on this instance, for the metrics.
struct run_statistics {
    std::size_t active = 0;
    std::uint64_t started = 0;
    std::uint64_t interrupted = 0;
    /// Runs and scorings that were in progress when this instance noticed that
    /// their job had ended.
    std::uint64_t stopped_after_end = 0;
};

/// Runs items for the planners of all services, on this instance or others, and
/// reports their progress: new events in batches, ends immediately.
///
/// Runs outlive their planner: complete texts and scores are kept until they
/// are listed, and the planner of a later term takes over all runs and results.
/// Runs that no planner takes over are stopped, and so are runs and scorings of
/// jobs that this instance knows as ended, whether or not a planner says so.
///
/// Not thread safe: all calls must come from one traffic thread.
class run_host {
public:
    /// Delivers an update to a planner.
    using reporter =
        std::function<void(const instance_id& planner, runner_update)>;

    /// Whether this instance knows that a job has ended.
    using job_end_check = std::function<bool(const job_id& job)>;

    /// All references must outlive `context`.
    run_host(boost::asio::io_context& context, item_runner& runner,
             instance_id self, reporter report, job_end_check is_ended,
             logger& log);

    /// Handles an order from a planner. Ignores orders of older terms.
    void on_order(const instance_id& planner, runner_command order);

    /// An answer to a request that isn't a run says that an upstream limits its
    /// requests, or that it doesn't. Tells the planner at once, and again with
    /// the next reports.
    void on_limit_observed(const instance_id& planner,
                           const service_name& service,
                           const upstream_id& upstream,
                           std::optional<double> limit);

    /// Stops all runs and reports the text received so far.
    void stop_all();

    [[nodiscard]] run_statistics statistics() const;

private:
    struct active_run {
        instance_id planner;
        service_name service;
        std::shared_ptr<const run_task> task;
        std::shared_ptr<run_record> record;
        boost::asio::cancellation_signal cancel;
    };
    using run_pointer = std::shared_ptr<active_run>;
    using planner_key = std::pair<instance_id, service_name>;

    /// What the latest answer of an upstream said about its request limit.
    struct limit_observation {
        service_name service;
        std::optional<double> limit;
        steady_time answered_at;
    };

    void report_limits(const instance_id& planner, const service_name& service);
    void on_leaving(const run_task& task);
    void on_limit(const run_task& task, std::optional<double> limit);
    [[nodiscard]] std::vector<observed_limit>
    limits_of(const service_name& service, steady_time now) const;
    void start(const planner_key& planner, run_task task);
    void stop(run_ticket ticket);
    void hand_over(const planner_key& planner, store_revision term);
    void keep_result(const active_run& run, held_run result);
    void refuse_task(const planner_key& planner, const run_task& task);
    void start_run(const run_pointer& run);
    void start_scoring(const run_pointer& run);
    void on_run_ended(const run_pointer& run, run_end end);
    /// `is_interrupted`: the scoring failed in a way that says nothing about
    /// its item.
    void on_scoring_ended(const run_pointer& run,
                          std::optional<std::string> score,
                          bool is_interrupted);
    /// Whether the run or scoring may send a request.
    [[nodiscard]] bool is_wanted(const active_run& run) const;
    void report_events();
    void stop_orphans(steady_time now);
    /// Stops what is in progress for ended jobs, and tells the planners of the
    /// ends.
    void stop_ended_jobs();
    void schedule_reports();

    boost::asio::io_context& context_;
    item_runner& runner_;
    instance_id self_;
    reporter report_;
    job_end_check is_ended_;
    logger& log_;
    std::map<run_ticket, run_pointer> runs_;
    kept_results kept_results_;
    std::map<upstream_id, limit_observation> limits_;
    /// The newest known planner term of each service.
    std::map<service_name, store_revision> terms_;
    std::map<planner_key, steady_time> last_heard_at_;
    boost::asio::steady_timer timer_;
    bool is_timer_set_ = false;
    run_statistics statistics_;
};

} // namespace savorydock
