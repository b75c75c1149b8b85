#pragma once

#include "drivers/peer/peer_counters.hpp"
#include "servers/configuration/configuration_server.hpp"
#include "servers/control/order_server.hpp"
#include "servers/explain/explain_server.hpp"
#include "servers/membership/membership_message.hpp"
#include "servers/routing/upstream_state.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <vector>

namespace savorydock {

/// Converts the state that the operators' interface reports to JSON. All
/// overloads are thread safe.
[[nodiscard]] boost::json::object to_json(const configuration_status& status);
[[nodiscard]] boost::json::object to_json(const peer_counters& counters);
[[nodiscard]] boost::json::object to_json(const explanation& found);
[[nodiscard]] boost::json::array
to_json(const std::vector<member_record>& instances);
[[nodiscard]] boost::json::array to_json(const upstream_state_map& states);
[[nodiscard]] boost::json::array
to_json(const std::vector<scope_status>& scopes);

} // namespace savorydock
