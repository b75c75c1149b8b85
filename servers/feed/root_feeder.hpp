#pragma once

#include "core/ids.hpp"
#include "servers/platform/store_transaction.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// A zone's feeder and its term.
struct zone_feeder {
    instance_id instance;
    availability_zone zone;
    store_revision term = 0;
};

/// Returns the feeder that watches the store for the feeders of all zones: the
/// one with the oldest term. `keys` are those under the feed term prefix, with
/// the holder's name in their values; `own_term` is this instance's own term,
/// which replaces what `keys` say of it, or nothing if it holds none.
///
/// Load pattern: watches and rereads of each zone's feeder grow with the number
/// of zones, and each costs a call to the store. A new root always has a newer
/// term than the last one, so followers can tell them apart while their copies
/// of the keys differ.
///
/// Thread safe.
[[nodiscard]] std::optional<zone_feeder>
find_root_feeder(const std::map<std::string, stored_value>& keys,
                 const instance_id& self,
                 std::optional<store_revision> own_term);

/// Returns the feeders of all zones but this instance. Thread safe.
[[nodiscard]] std::vector<zone_feeder>
other_feeders(const std::map<std::string, stored_value>& keys,
              const instance_id& self);

} // namespace savorydock
