#pragma once

#include "core/clock.hpp"
#include "core/outcome.hpp"
#include "drivers/caller_http/traffic_services.hpp"
#include "drivers/http/http_server.hpp"
#include "servers/delivery/key_ledger.hpp"

#include <memory>
#include <string>

namespace savorydock {

/// The header names of the caller's interface beyond plain HTTP.
namespace caller_header {
inline constexpr std::string_view request_id = "Savorydock-Request-Id";
inline constexpr std::string_view result = "Savorydock-Result";
inline constexpr std::string_view instance = "Savorydock-Instance";
inline constexpr std::string_view attempt = "Savorydock-Attempt";
inline constexpr std::string_view last_instance = "Savorydock-Last-Instance";
inline constexpr std::string_view deadline = "Savorydock-Deadline-Ms";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
} // namespace caller_header

/// A request that was read, authorized and given its deadline.
struct caller_request {
    request_id id;
    /// Keeps the service's document alive through the request.
    std::shared_ptr<const configuration_view> view;
    const service_in_force* service = nullptr;
    const caller_rule* caller = nullptr;
    const class_rule* service_class = nullptr;
    steady_time began{};
    steady_time deadline{};
    idempotency_key key;
    call_attempt attempt = 0;
    /// The instance that the last sending reached, if the caller says so.
    instance_id last_instance;
};

/// The id that the caller gave its request, or a new one. Thread safe.
[[nodiscard]] request_id id_of(const http_request& request,
                               traffic_services& services);

/// Authorizes a request for a service and reads its headers. Errors:
/// `not_run_*`, all before anything ran. Thread safe.
[[nodiscard]] outcome<caller_request> admit_request(const http_request& request,
                                                    request_id id,
                                                    const service_name& service,
                                                    traffic_services& services);

/// The answer that tells a caller why its request has no other answer.
[[nodiscard]] http_response make_failure_answer(const request_id& id,
                                                const failure& reason,
                                                const instance_id& instance);

/// The headers that every answer carries.
[[nodiscard]] http_headers make_answer_headers(const request_id& id,
                                               result_code code,
                                               const instance_id& instance);

/// Notes the end of a request in the decision log and the log.
void note_end(traffic_services& services, const request_id& id,
              const failure& reason);

/// Notes the end of an admitted request, in the histograms too.
void note_end(traffic_services& services, const caller_request& request,
              const failure& reason);

/// A refusal of a repeated sending, decided before its key was looked up, must
/// not be read as "not run" of the key. Thread safe.
[[nodiscard]] failure keep_honest(const http_request& request, failure reason);

} // namespace savorydock
