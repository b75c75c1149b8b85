#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <string>

namespace savorydock {

/// The value of a scope's key: the holder's name and its lease, so that each
/// claim writes a different value. Both functions are thread safe.
/// @{
[[nodiscard]] std::string encode_term_value(const instance_id& holder,
                                            std::uint64_t lease);
[[nodiscard]] instance_id holder_of(const std::string& value);
/// @}

} // namespace savorydock
