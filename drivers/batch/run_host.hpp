#pragma once

#include "core/logger.hpp"
#include "drivers/batch/item_runner.hpp"
#include "servers/batch/run_message.hpp"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace savorydock {

/// Figures of the runs on this instance, for the metrics.
struct run_figures {
    std::size_t active = 0;
    std::uint64_t started = 0;
    std::uint64_t interrupted = 0;
};

/// Runs items for the planners of all services, this instance's or others', and
/// reports what comes: new events in batches, ends at once. Runs outlive their
/// planner: whole texts and scores are kept until they are listed, and a
/// planner of a later term takes all over. Runs that no planner takes over are
/// stopped. Belongs to one traffic thread.
class run_host {
public:
    /// Brings news to a planner.
    using reporter =
        std::function<void(const instance_id& planner, runner_update)>;

    /// Whether this instance knows that a job was ended.
    using end_test = std::function<bool(const job_id& job)>;

    /// All references must outlive the host's context.
    run_host(boost::asio::io_context& context, item_runner& runner,
             instance_id self, reporter report, end_test is_ended, logger& log);

    /// An order of a planner came.
    void on_order(const instance_id& planner, runner_command order);

    /// Stops all runs and reports what there is of them.
    void stop_all();

    [[nodiscard]] run_figures figures() const;

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

    /// A whole text or a score that may not be listed yet.
    struct kept_result {
        service_name service;
        steady_time ended_at;
        held_run result;
    };

    void start(const planner_key& planner, run_task task);
    void stop(run_ticket ticket);
    void hand_over(const planner_key& planner, store_revision term);
    void keep(const active_run& run, held_run result);
    void drop_old_results(steady_time now);
    void refuse(const planner_key& planner, run_ticket ticket);
    void start_run(const run_pointer& run);
    void start_scoring(const run_pointer& run);
    void on_run_ended(const run_pointer& run, run_end end);
    void report_events();
    void stop_orphans(steady_time now);
    void time_reports();

    boost::asio::io_context& context_;
    item_runner& runner_;
    instance_id self_;
    reporter report_;
    end_test is_ended_;
    logger& log_;
    std::map<run_ticket, run_pointer> runs_;
    std::map<run_ticket, kept_result> kept_;
    /// The newest term of a service's planner.
    std::map<service_name, store_revision> terms_;
    std::map<planner_key, steady_time> heard_at_;
    boost::asio::steady_timer timer_;
    bool is_timed_ = false;
    run_figures figures_;
};

} // namespace savorydock
