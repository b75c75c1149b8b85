#pragma once

#include "drivers/caller_http/traffic_services.hpp"
#include "drivers/http/http_server.hpp"

namespace savorydock {

/// The HTTP interface for callers:
///
///   POST /v1/completions             one completion of a model service
///   POST /v1/steps                   the samples of a trainer's step
///   ANY  /v1/services/NAME/PATH      a call to a plain service
///
/// Returns a handler for an http_server. `services` must outlive it.
[[nodiscard]] http_handler make_caller_api(traffic_services& services);

} // namespace savorydock
