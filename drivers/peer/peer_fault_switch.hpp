#pragma once

#include "core/ids.hpp"

#include <atomic>
#include <mutex>
#include <set>

namespace savorydock {

/// Drops messages to and from given peers to simulate a network partition.
/// For failure tests. Thread safe.
class peer_fault_switch {
public:
    /// Replaces the sets of peers that are cut off; empty sets end the
    /// partition.
    void cut(std::set<instance_id> instances,
             std::set<availability_zone> zones);

    /// Whether messages to or from that peer are dropped. Pass an empty zone if
    /// it is unknown.
    [[nodiscard]] bool is_cut(const instance_id& instance,
                              const availability_zone& zone) const;

private:
    std::atomic<bool> is_active_{false};
    mutable std::mutex mutex_;
    std::set<instance_id> instances_;
    std::set<availability_zone> zones_;
};

} // namespace savorydock
