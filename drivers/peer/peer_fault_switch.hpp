#pragma once

#include "core/ids.hpp"

#include <atomic>
#include <mutex>
#include <set>

namespace savorydock {

/// Drops messages to and from chosen peers, as a network partition would.
/// For tests of failures. Thread safe.
class peer_fault_switch {
public:
    /// Replaces what is cut off; empty sets heal the network.
    void cut(std::set<instance_id> instances,
             std::set<availability_zone> zones);

    /// Whether messages to or from that peer are dropped. An empty zone
    /// stands for one that is not known.
    [[nodiscard]] bool is_cut(const instance_id& instance,
                              const availability_zone& zone) const;

private:
    std::atomic<bool> is_active_{false};
    mutable std::mutex mutex_;
    std::set<instance_id> instances_;
    std::set<availability_zone> zones_;
};

} // namespace savorydock
