#pragma once

#include "drivers/peer/peer_counters.hpp"
#include "servers/configuration/configuration_server.hpp"
#include "servers/explain/explain_server.hpp"

#include <boost/json/object.hpp>

namespace savorydock {

/// The JSON forms of what the operators' interface shows. Thread safe.
[[nodiscard]] boost::json::object to_json(const configuration_status& status);
[[nodiscard]] boost::json::object to_json(const peer_counters& counters);
[[nodiscard]] boost::json::object to_json(const explanation& found);

} // namespace savorydock
