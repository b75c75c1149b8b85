#include "drivers/front/run_notice.hpp"

#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace savorydock {

struct run_notice::state {
    fleet_state& fleet;
    organisation_id organisation;
    boost::asio::steady_timer timer;
    std::optional<steady_time> written_at;
    bool is_reported = false;

    void report() {
        if (!is_reported && written_at) {
            is_reported = true;
            fleet.on_run_began(organisation, *written_at);
        }
    }
};

run_notice::run_notice(fleet_state& fleet, organisation_id organisation,
                       const boost::asio::any_io_executor& executor) {
    if (!organisation.is_empty()) {
        state_ = std::make_shared<state>(
            state{.fleet = fleet,
                  .organisation = std::move(organisation),
                  .timer = boost::asio::steady_timer(executor)});
    }
}

run_notice::~run_notice() {
    on_outcome(true);
}

void run_notice::on_written() {
    if (!state_ || state_->is_reported) {
        return;
    }
    const steady_time now = std::chrono::steady_clock::now();
    state_->written_at = now;
    state_->timer.expires_at(now + refusal_time);
    state_->timer.async_wait(
        [state = state_, now](const boost::system::error_code& error) {
            if (!error && state->written_at == now) {
                state->report();
            }
        });
}

void run_notice::on_outcome(bool may_have_run) {
    if (!state_) {
        return;
    }
    if (may_have_run) {
        state_->report();
    }
    state_->written_at.reset();
    state_->timer.cancel();
}

} // namespace savorydock
