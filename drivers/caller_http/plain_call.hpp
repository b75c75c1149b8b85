#pragma once

#include "drivers/caller_http/caller_request.hpp"

namespace savorydock {

/// Passes a call to a plain service: idempotent calls are tried again within
/// their deadline, the others run at most once. Answers the exchange.
boost::asio::awaitable<void> serve_plain_call(http_exchange& exchange,
                                              caller_request request,
                                              std::string path,
                                              traffic_services& services);

} // namespace savorydock
