#pragma once

#include "servers/feed/node_directory.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace savorydock {

struct claim_order_options {
    instance_id self;
    /// Instances in other zones don't claim the scope, if set.
    std::optional<availability_zone> zone;
    /// How much later each further instance claims. Covers the time until the
    /// others know of a claim.
    std::chrono::milliseconds step{120};
    /// Limits the delay of the last instances.
    std::size_t max_rank = 20;
    /// Whether the instance should claim after all others.
    std::function<bool(const node_entry&)> is_last = [](const node_entry&) {
        return false;
    };
};

/// Returns how long this instance waits before it claims a free scope; nothing
/// if the directory doesn't list it yet.
///
/// Load pattern: when a holder fails, hundreds of instances see at the same
/// moment that its scope is free. Each claim costs up to three calls to the
/// store, and only one succeeds. Therefore the instances claim in an order that
/// all derive from the directory, by hash of the scope, a step apart; the last
/// holder comes after the others. If some of the first have failed as well,
/// each costs one step.
///
/// Thread safe.
[[nodiscard]] std::optional<std::chrono::milliseconds>
claim_delay(const node_directory& directory, std::string_view scope,
            const instance_id& last_holder, const claim_order_options& options);

} // namespace savorydock
