#pragma once

#include "core/ids.hpp"
#include "core/outcome.hpp"

#include <string>
#include <string_view>

namespace savorydock {

/// The state that an upstream reports about itself.
struct upstream_report {
    weight_version version = 0;
    /// The version that it is loading; 0 if none.
    weight_version loading = 0;
    /// The highest fencing number that it has seen; 0 if it does not check
    /// fencing numbers.
    fencing_number fencing = 0;
    std::string role;
    /// The number of requests that run or wait on the upstream.
    std::uint64_t load = 0;
};

/// Parses the answer to a state request, or the "state" member of the answer to
/// an order. Errors: `invalid_json`. Thread safe.
[[nodiscard]] outcome<upstream_report>
parse_upstream_report(std::string_view text);

/// Whether the body of an error response says that the weight store has no
/// capacity for another fetch.
[[nodiscard]] bool is_store_busy(std::string_view body);

} // namespace savorydock
