#pragma once

#include "drivers/caller_http/caller_request.hpp"

namespace savorydock {

/// Serves one completion, as a stream or as one answer, with the weight
/// versions by token range at its end. Answers the exchange.
boost::asio::awaitable<void> serve_model_call(http_exchange& exchange,
                                              caller_request request,
                                              traffic_services& services);

} // namespace savorydock
