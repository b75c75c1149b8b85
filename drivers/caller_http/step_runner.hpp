#pragma once

#include "drivers/caller_http/generation_run.hpp"
#include "drivers/caller_http/step_body.hpp"
#include "servers/delivery/step_session.hpp"
#include "servers/step_schedule/step_schedule.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>

namespace savorydock {

/// Runs the slots of one step session on upstreams and streams the samples to
/// the trainer. The schedule decides when each slot runs and how stragglers are
/// handled; the session decides which samples may be handed over. Used on one
/// traffic thread. Runs that are still active after the trainer disconnected
/// keep the object alive until they end.
class step_runner : public std::enable_shared_from_this<step_runner> {
public:
    step_runner(caller_request request, step_body body, step_session session,
                std::size_t worker, traffic_services& services);

    /// Serves the step until the session ends; returns its result.
    /// Precondition: the response stream has begun.
    boost::asio::awaitable<result_code> serve(http_exchange& exchange);

    [[nodiscard]] const step_session& session() const { return session_; }

private:
    /// One run in flight. Its coroutine checks `must_move` and `is_dropped` at
    /// each token.
    struct active_run {
        slot_run run;
        run_key key;
        upstream_id upstream;
        bool must_move = false;
        bool is_dropped = false;
    };

    void open();
    void close();
    void start_runs();
    void start_run(const slot_run& run, std::vector<upstream_id> excluded);
    void review_runs(steady_time now);
    void act_on(const straggler_action& action);
    void drop_others(slot_place place);
    void reopen_discarded();
    void check_end(http_exchange& exchange);
    boost::asio::awaitable<void> run_slot(std::shared_ptr<active_run> live,
                                          std::vector<upstream_id> excluded);
    void end_run(const active_run& live, const answer_assembler& answer,
                 const outcome<done>& result);
    boost::asio::awaitable<void> hand_over(http_exchange& exchange);
    boost::asio::awaitable<void> wait_for_change();
    [[nodiscard]] weight_version newest_version() const;
    [[nodiscard]] slot_id to_slot(slot_place place) const;

    caller_request request_;
    step_body body_;
    step_session session_;
    std::size_t worker_;
    traffic_services& services_;
    step_statistics& statistics_;
    step_schedule schedule_;
    boost::asio::steady_timer wake_timer_;
    std::map<run_key, std::shared_ptr<active_run>> active_runs_;
    /// Slots whose answer is complete but not yet sent to the trainer.
    std::set<slot_place> answered_;
    std::uint32_t next_key_ = 0;
    std::uint32_t too_old_ = 0;
    steady_time next_review_{};
};

} // namespace savorydock
