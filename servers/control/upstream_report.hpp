#pragma once

#include "core/ids.hpp"
#include "core/outcome.hpp"

#include <string>
#include <string_view>

namespace savorydock {

/// What an upstream says about itself when it is read back.
struct upstream_report {
    weight_version version = 0;
    /// The version that it is loading; 0 if none.
    weight_version loading = 0;
    /// The highest fencing number that it has seen; 0 if it checks none.
    fencing_number fencing = 0;
    std::string role;
    /// Requests that run and wait on it.
    std::uint64_t load = 0;
};

/// Reads the answer to a state request, or the "state" member of the answer
/// to an order. Errors: `invalid_json`. Thread safe.
[[nodiscard]] outcome<upstream_report>
parse_upstream_report(std::string_view text);

/// Whether a refusal's body says that the weight store had no room.
[[nodiscard]] bool is_store_busy(std::string_view body);

} // namespace savorydock
