#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <memory>

namespace savorydock {

/// Reports once per call that an upstream has begun, or may have begun, to run
/// it: with the time at which the first such attempt was written.
///
/// An attempt that its upstream refuses hasn't begun. Refusals arrive at once,
/// so an attempt without an answer counts as begun after `refusal_time`:
/// reports of the time that it began in don't wait for its end. Not thread
/// safe.
class run_notice {
public:
    static constexpr std::chrono::milliseconds refusal_time{250};

    /// `fleet` must outlive the executor's context. Nothing is reported if the
    /// organisation is empty.
    run_notice(fleet_state& fleet, organisation_id organisation,
               const boost::asio::any_io_executor& executor);
    /// An attempt that was written and has no outcome may have begun.
    ~run_notice();
    run_notice(const run_notice&) = delete;
    run_notice& operator=(const run_notice&) = delete;

    /// An attempt is about to be written.
    void on_written();
    /// The outcome of the attempt is known.
    void on_outcome(bool may_have_run);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace savorydock
