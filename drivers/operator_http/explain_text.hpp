#pragma once

#include <boost/json/object.hpp>

#include <string>

namespace savorydock {

/// Formats an explanation as a timeline for people to read. Precondition: an
/// instance's response to /v1/explain. Thread safe.
[[nodiscard]] std::string explanation_to_text(const boost::json::object& found);

/// Formats an instance's status for people to read. Thread safe.
[[nodiscard]] std::string status_to_text(const boost::json::object& status);

} // namespace savorydock
