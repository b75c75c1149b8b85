#pragma once

#include "drivers/caller_http/generation_run.hpp"
#include "drivers/caller_http/step_body.hpp"
#include "servers/delivery/step_session.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace savorydock {

/// Runs the slots of one step session on upstreams and writes the samples to
/// the trainer. Lives on one traffic thread; runs that end after the trainer
/// left keep it alive until they do.
class step_runner : public std::enable_shared_from_this<step_runner> {
public:
    step_runner(caller_request request, step_body body, step_session session,
                std::size_t worker, traffic_services& services);

    /// Serves until the session ends. Precondition: the stream has begun.
    boost::asio::awaitable<result_code> serve(http_exchange& exchange);

    [[nodiscard]] const step_session& session() const { return session_; }

private:
    void open();
    void close();
    void start_runs();
    boost::asio::awaitable<void> run_slot(slot_run run);
    boost::asio::awaitable<void> hand_over(http_exchange& exchange);
    boost::asio::awaitable<void> wait_for_change();
    [[nodiscard]] weight_version newest_version() const;

    caller_request request_;
    step_body body_;
    step_session session_;
    std::size_t worker_;
    traffic_services& services_;
    boost::asio::steady_timer change_;
    std::uint32_t running_ = 0;
};

} // namespace savorydock
