#pragma once

#include "drivers/caller_http/caller_request.hpp"

namespace savorydock {

/// Serves one session of a trainer's step: samples as server-sent events in
/// the order in which they become whole, then one event with the result.
/// Answers the exchange.
boost::asio::awaitable<void> serve_step(http_exchange& exchange,
                                        caller_request request,
                                        traffic_services& services);

} // namespace savorydock
