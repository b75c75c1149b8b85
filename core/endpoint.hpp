#pragma once

#include "core/outcome.hpp"

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// An IP address and a port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
};
BOOST_DESCRIBE_STRUCT(endpoint, (), (address, port))

/// Parses "a.b.c.d:port" or "[v6]:port". Host names are rejected: processes
/// address each other only by IP address. Errors: `invalid_document`. Thread
/// safe.
[[nodiscard]] outcome<endpoint> parse_endpoint(std::string_view text);

/// Parses one or more addresses separated by commas. Errors:
/// `invalid_document`. Thread safe.
[[nodiscard]] outcome<std::vector<endpoint>>
parse_endpoints(std::string_view text);

/// Formats an endpoint as `parse_endpoint` accepts it. Thread safe.
[[nodiscard]] std::string to_text(const endpoint& target);

} // namespace savorydock
