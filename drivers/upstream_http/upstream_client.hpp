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

namespace savorydock {

/// One run of a prompt on a model engine.
struct generation_call {
    std::string stream;
    attempt_number attempt = 0;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    /// Tells the samples of one prompt apart, so that the engine draws anew.
    std::uint32_t seed = 0;
    /// Tokens that are there already, and their text: the engine goes on
    /// behind them.
    std::uint32_t resume_from = 0;
    std::string resume_text;
    std::int32_t priority = 0;
};

/// What traffic learnt of an upstream by one call.
struct call_evidence {
    upstream_evidence evidence = upstream_evidence::answered;
    std::chrono::microseconds first_byte{0};
};

/// Returns what the failure of a call says about its upstream. Thread safe.
[[nodiscard]] upstream_evidence evidence_of(result_code code);

/// Calls to upstreams by HTTP. Belongs to one traffic thread.
class upstream_client {
public:
    /// Takes one event of a stream; false ends the call.
    using event_sink =
        std::function<boost::asio::awaitable<bool>(const stream_event&)>;

    explicit upstream_client(boost::asio::io_context& context)
        : client_(context) {}

    /// Passes a plain call on. Calls that are not idempotent get a new
    /// connection, so that a half-closed one can't leave them in doubt.
    /// `evidence` is set in each case.
    boost::asio::awaitable<outcome<http_response>>
    call(endpoint address, http_request request, steady_time deadline,
         bool is_idempotent, call_evidence& evidence);

    /// Runs a prompt. Succeeds when the stream ended in order; whether the
    /// answer is whole is the assembler's to say.
    boost::asio::awaitable<outcome<done>>
    generate(endpoint address, generation_call call, steady_time deadline,
             event_sink sink, call_evidence& evidence);

    /// Tells an engine to end a stream; what comes of it does not matter.
    boost::asio::awaitable<void> cancel(endpoint address, std::string stream,
                                        steady_time deadline);

private:
    http_client client_;
};

} // namespace savorydock
