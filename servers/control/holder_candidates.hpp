#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <string>

namespace savorydock {

/// Says how early this instance should try to become the holder of a shard.
///
/// Ranks only save platform calls; safety does not hang on them, so instances
/// may disagree. Called on the control thread only.
class holder_candidates {
public:
    virtual ~holder_candidates() = default;

    /// 0 tries at once, 1 tries when nobody else has, others don't try.
    /// `group` is a zone's name, or `fleet_group` for services that are not
    /// sharded by zone.
    [[nodiscard]] virtual std::uint32_t rank(const std::string& group,
                                             std::uint32_t shard) const = 0;
};

/// The group of services that one holder orders in all zones.
inline constexpr const char* fleet_group = "fleet";

} // namespace savorydock
