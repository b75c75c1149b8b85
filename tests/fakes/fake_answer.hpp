#pragma once

#include "drivers/http/http_server.hpp"

#include <boost/json/object.hpp>

namespace savorydock {

/// Sends one JSON object; a leaving upstream says so in a header.
boost::asio::awaitable<void> send_json(http_exchange& exchange, unsigned status,
                                       boost::json::object body,
                                       bool is_leaving = false);

/// Sends {"error": text}.
boost::asio::awaitable<void> send_error(http_exchange& exchange,
                                        unsigned status, std::string text,
                                        bool is_leaving = false);

/// Serves on the address of a fake's command line until SIGTERM; prints
/// "listening ADDRESS" first. Returns the exit code.
int run_fake(const std::string& listen_text,
             const std::function<outcome<endpoint>(const endpoint&)>& listen);

} // namespace savorydock
