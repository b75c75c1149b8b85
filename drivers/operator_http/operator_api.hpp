#pragma once

#include "drivers/http/http_server.hpp"

#include <boost/json/object.hpp>

#include <functional>
#include <string>

namespace savorydock {

/// What the operators' interface shows and does. The functions are called on
/// I/O threads; those with a callback answer it exactly once, on any thread.
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

/// The operators' interface:
///
///   GET  /v1/ready               200 while new work is taken; needs no key
///   GET  /v1/status              what this instance knows, with ages
///   GET  /v1/explain/SUBJECT     decisions about a request, step or order
///   GET  /metrics                Prometheus text; needs no key
///   POST /v1/drain               takes no new work and ends
///   POST /v1/clear/FINGERPRINT   lets a held request run again
///
/// `services` must outlive the handler.
[[nodiscard]] http_handler make_operator_api(const operator_services& services);

} // namespace savorydock
