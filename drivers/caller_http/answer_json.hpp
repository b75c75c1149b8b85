#pragma once

#include "core/ids.hpp"
#include "core/outcome.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <span>
#include <string>

namespace savorydock {

/// {"code", "name", "detail"}. Thread safe.
[[nodiscard]] boost::json::object to_json(const failure& reason);

/// [{"first", "last", "version"}]. Thread safe.
[[nodiscard]] boost::json::array to_json(std::span<const version_range> ranges);

/// One server-sent event that carries the object. Thread safe.
[[nodiscard]] std::string to_server_sent_event(const boost::json::object& body);

} // namespace savorydock
