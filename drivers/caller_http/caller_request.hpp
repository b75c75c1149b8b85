#pragma once

#include "core/clock.hpp"
#include "core/outcome.hpp"
#include "drivers/caller_http/traffic_services.hpp"
#include "drivers/http/http_server.hpp"
#include "servers/delivery/key_ledger.hpp"

#include <memory>
#include <string>

namespace savorydock {

/// Names of the headers that the interface for callers adds to plain HTTP.
namespace caller_header {
inline constexpr std::string_view request_id = "Savorydock-Request-Id";
inline constexpr std::string_view result = "Savorydock-Result";
inline constexpr std::string_view instance = "Savorydock-Instance";
inline constexpr std::string_view attempt = "Savorydock-Attempt";
inline constexpr std::string_view last_instance = "Savorydock-Last-Instance";
inline constexpr std::string_view deadline = "Savorydock-Deadline-Ms";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
} // namespace caller_header

/// A request whose caller is authorized, whose headers are parsed and whose
/// deadline is set.
struct caller_request {
    request_id id;
    /// Keeps the service's document alive for the duration of the request.
    std::shared_ptr<const configuration_view> view;
    const service_in_force* service = nullptr;
    const caller_rule* caller = nullptr;
    const class_rule* service_class = nullptr;
    steady_time began{};
    steady_time deadline{};
    idempotency_key key;
    call_attempt attempt = 0;
    /// The instance that the previous attempt was sent to, if the caller names
    /// it; otherwise empty.
    instance_id last_instance;
};

/// Returns the request id from the caller's header, or a new one if it is
/// missing or invalid. Thread safe.
[[nodiscard]] request_id id_of(const http_request& request,
                               traffic_services& services);

/// Authorizes a request for a service and reads its headers. Errors:
/// `not_run_*`; no part of the request has been executed then. Thread safe.
[[nodiscard]] outcome<caller_request> admit_request(const http_request& request,
                                                    request_id id,
                                                    const service_name& service,
                                                    traffic_services& services);

/// Builds the response that reports why a request failed or was refused.
[[nodiscard]] http_response make_failure_answer(const request_id& id,
                                                const failure& reason,
                                                const instance_id& instance);

/// Builds the headers that every response has.
[[nodiscard]] http_headers make_answer_headers(const request_id& id,
                                               result_code code,
                                               const instance_id& instance);

/// Records the end of a request in the decision log and the log.
void record_end(traffic_services& services, const request_id& id,
                const failure& reason);

/// Records the end of an admitted request, also in the latency histograms.
void record_end(traffic_services& services, const caller_request& request,
                const failure& reason);

/// Replaces the code of a refusal that was decided before the idempotency key
/// was looked up: an earlier attempt with the key may have run, so the caller
/// must not treat "not run" as the outcome of the key. Thread safe.
[[nodiscard]] failure adjust_refusal_code(const http_request& request,
                                          failure reason);

} // namespace savorydock
