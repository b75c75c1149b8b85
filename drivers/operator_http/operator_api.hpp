#pragma once

#include "drivers/http/http_server.hpp"

#include <boost/json/object.hpp>

#include <functional>
#include <string>

namespace savorydock {

/// The functions behind the HTTP interface for operators. They are called on
/// I/O threads. Those with an `answer_handler` call it exactly once, on any
/// thread.
struct operator_services {
    using answer_handler = std::function<void(boost::json::object)>;

    std::string operator_key;
    std::function<void(answer_handler)> read_status;
    std::function<void(std::string subject, answer_handler)> explain;
    std::function<std::string()> write_metrics;
    std::function<void()> start_drain;
    std::function<void(std::string subject, answer_handler)> clear_suspect;
    std::function<bool()> is_ready;
};

/// Returns a handler for the HTTP interface for operators:
///
///   GET  /v1/ready               200 while new work is accepted; needs no key
///   GET  /v1/status              state known to this instance, with its age
///   GET  /v1/explain/SUBJECT     decisions about a request, step or order
///   GET  /metrics                Prometheus text; needs no key
///   POST /v1/drain               refuse new work, finish requests and exit
///   POST /v1/clear/FINGERPRINT   allow a blocked request to run again
///
/// `services` must outlive the handler.
[[nodiscard]] http_handler make_operator_api(const operator_services& services);

} // namespace savorydock
