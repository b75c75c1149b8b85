#pragma once

#include "core/logger.hpp"
#include "drivers/batch/job_store.hpp"
#include "drivers/front/caller_authenticator.hpp"
#include "drivers/http/http_server.hpp"
#include "platform/request_codec.hpp"
#include "servers/admission/exit_admission.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>

namespace savorydock {

/// Answers the calls of callers about jobs that were accepted earlier: reads of
/// results, reads of items' bodies, and ends. Not thread safe: all calls must
/// come from one traffic thread.
class job_call_handler {
public:
    /// Called with a job that was ended by a call.
    using end_listener = std::function<void(const job_id&)>;

    /// All references must outlive the handler.
    job_call_handler(const fleet_state& fleet,
                     caller_authenticator& authenticator, job_store& jobs,
                     const exit_admission& exit, end_listener on_ended,
                     logger& log);

    /// Handles one call and sends the response. Jobs of another organisation
    /// than the caller's are answered like jobs that don't exist.
    boost::asio::awaitable<void> handle(http_exchange& exchange,
                                        platform::job_call call);

private:
    /// Returns the refusal of a call that its caller may not make, or nothing.
    boost::asio::awaitable<std::optional<http_response>>
    check_caller(const http_request& request, job_id job);
    boost::asio::awaitable<http_response>
    answer(platform::read_results_call call);
    boost::asio::awaitable<http_response> answer(platform::read_item_call call);
    boost::asio::awaitable<http_response> answer(platform::end_job_call call);

    const fleet_state& fleet_;
    caller_authenticator& authenticator_;
    job_store& jobs_;
    const exit_admission& exit_;
    end_listener on_ended_;
    logger& log_;
};

} // namespace savorydock
