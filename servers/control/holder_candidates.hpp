#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <string>

namespace savorydock {

/// Ranks this instance among the candidates for the holder of a shard.
///
/// Ranks only reduce the number of platform calls. Safety doesn't depend on
/// them, so instances may disagree. Called on the control thread only.
class holder_candidates {
public:
    virtual ~holder_candidates() = default;

    /// Rank 0 tries immediately, rank 1 is the standby and tries when no
    /// other instance has, higher ranks don't try. `group` is the name of a
    /// zone, or `fleet_group` for services that are not sharded by zone.
    [[nodiscard]] virtual std::uint32_t rank(const std::string& group,
                                             std::uint32_t shard) const = 0;
};

/// The group of services whose upstreams in all zones have a single holder.
inline constexpr const char* fleet_group = "fleet";

} // namespace savorydock
