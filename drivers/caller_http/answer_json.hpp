#pragma once

#include "core/ids.hpp"
#include "core/outcome.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <span>
#include <string>

namespace savorydock {

/// Returns {"code", "name", "detail"}. Thread safe.
[[nodiscard]] boost::json::object to_json(const failure& reason);

/// Returns [{"first", "last", "version"}]. Thread safe.
[[nodiscard]] boost::json::array to_json(std::span<const version_range> ranges);

/// Encodes the object as one server-sent event. Thread safe.
[[nodiscard]] std::string to_server_sent_event(const boost::json::object& body);

} // namespace savorydock
