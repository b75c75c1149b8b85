#pragma once

#include "core/clock.hpp"
#include "core/outcome.hpp"
#include "core/service_document.hpp"
#include "drivers/http/http_client.hpp"
#include "servers/control_server.hpp"
#include "servers/delivery/answer_assembler.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace savorydock {

/// One run of a prompt on a model engine.
struct generation_call {
    std::string stream;
    attempt_number attempt = 0;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    /// Differs between the samples of one prompt, so that the engine generates
    /// a different output for each.
    std::uint32_t seed = 0;
    /// The number of tokens that were generated already, and their text; the
    /// engine resumes after them.
    std::uint32_t resume_from = 0;
    std::string resume_text;
    std::int32_t priority = 0;
};

/// What one call showed about its upstream.
struct call_evidence {
    upstream_evidence evidence = upstream_evidence::answered;
    std::chrono::microseconds first_byte{0};
};

/// Returns what a call's failure shows about its upstream. Thread safe.
[[nodiscard]] upstream_evidence evidence_of(result_code code);

/// Makes HTTP calls to upstreams. Belongs to one traffic thread.
class upstream_client {
public:
    /// Handles one event of a stream; returning false cancels the call.
    using event_sink =
        std::function<boost::asio::awaitable<bool>(const stream_event&)>;

    explicit upstream_client(boost::asio::io_context& context,
                             answer_limits limits = {})
        : client_(context, unframed_answer::refuse, std::move(limits)) {}

    /// Forwards a plain call. Calls that are not idempotent use a new
    /// connection: on a half-closed one, whether they ran would be unknown.
    /// Sends `body`, which must outlive the call, instead of the request's own
    /// if it isn't empty. Always sets `evidence`.
    boost::asio::awaitable<outcome<http_response>>
    call(endpoint address, http_request request, std::string_view body,
         steady_time deadline, bool is_idempotent, call_evidence& evidence);

    /// Runs a prompt. Succeeds if the stream ended in order; the assembler
    /// decides whether the answer is complete.
    boost::asio::awaitable<outcome<done>>
    generate(endpoint address, generation_call call, steady_time deadline,
             event_sink sink, call_evidence& evidence);

    /// Requests that an engine end a stream and ignores the result.
    boost::asio::awaitable<void> cancel(endpoint address, std::string stream,
                                        steady_time deadline);

private:
    http_client client_;
};

} // namespace savorydock
