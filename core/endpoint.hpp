#pragma once

#include "core/outcome.hpp"

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// An IP number and a port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
};
BOOST_DESCRIBE_STRUCT(endpoint, (), (address, port))

/// Reads "a.b.c.d:port" or "[v6]:port". Names are refused: processes talk by
/// IP numbers. Errors: `invalid_document`. Thread safe.
[[nodiscard]] outcome<endpoint> parse_endpoint(std::string_view text);

/// Reads one or more addresses separated by commas. Errors:
/// `invalid_document`. Thread safe.
[[nodiscard]] outcome<std::vector<endpoint>>
parse_endpoints(std::string_view text);

/// Returns the text that `parse_endpoint` reads. Thread safe.
[[nodiscard]] std::string to_text(const endpoint& target);

} // namespace savorydock
