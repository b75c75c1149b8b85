#pragma once

#include "drivers/http/http_server.hpp"

#include <boost/json/object.hpp>

namespace savorydock {

/// Responds with a JSON object. `is_leaving` adds the Savorydock-Leaving
/// header.
boost::asio::awaitable<void> send_json(http_exchange& exchange, unsigned status,
                                       boost::json::object body,
                                       bool is_leaving = false);

/// Sends {"error": text}.
boost::asio::awaitable<void> send_error(http_exchange& exchange,
                                        unsigned status, std::string text,
                                        bool is_leaving = false);

/// Calls `listen` with the address in `listen_text`, prints "listening ADDRESS"
/// and serves until SIGTERM or SIGINT. Returns the exit code: 2 for a malformed
/// address, 1 if listening fails.
int run_fake(const std::string& listen_text,
             const std::function<outcome<endpoint>(const endpoint&)>& listen);

} // namespace savorydock
