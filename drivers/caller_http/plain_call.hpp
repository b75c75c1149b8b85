#pragma once

#include "drivers/caller_http/caller_request.hpp"

namespace savorydock {

/// Forwards a call to a plain service. Idempotent calls are retried within
/// their deadline; all others run at most once. Sends the response through
/// the exchange.
boost::asio::awaitable<void> serve_plain_call(http_exchange& exchange,
                                              caller_request request,
                                              std::string path,
                                              traffic_services& services);

} // namespace savorydock
