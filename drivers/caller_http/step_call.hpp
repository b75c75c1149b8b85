#pragma once

#include "drivers/caller_http/caller_request.hpp"

namespace savorydock {

/// Serves one session of a trainer's step: sends each sample as a server-sent
/// event as soon as it is complete, then one event with the result. Sends
/// the response through the exchange.
boost::asio::awaitable<void> serve_step(http_exchange& exchange,
                                        caller_request request,
                                        traffic_services& services);

} // namespace savorydock
