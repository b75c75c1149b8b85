#pragma once

#include "drivers/caller_http/caller_request.hpp"

namespace savorydock {

/// Serves one completion, streamed or as a single response. The end of the
/// answer lists which weight version generated which range of tokens. Sends
/// the response through the exchange.
boost::asio::awaitable<void> serve_model_call(http_exchange& exchange,
                                              caller_request request,
                                              traffic_services& services);

} // namespace savorydock
