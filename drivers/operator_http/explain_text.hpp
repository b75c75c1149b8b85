#pragma once

#include <boost/json/object.hpp>

#include <string>

namespace savorydock {

/// A readable timeline of an explanation. Thread safe.
[[nodiscard]] std::string explanation_to_text(const boost::json::object& found);

/// A readable form of an instance's status. Thread safe.
[[nodiscard]] std::string status_to_text(const boost::json::object& status);

} // namespace savorydock
