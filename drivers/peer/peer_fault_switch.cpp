#include "drivers/peer/peer_fault_switch.hpp"

#include <utility>

namespace savorydock {

void peer_fault_switch::cut(std::set<instance_id> instances,
                            std::set<availability_zone> zones) {
    const std::lock_guard lock(mutex_);
    instances_ = std::move(instances);
    zones_ = std::move(zones);
    is_active_ = !instances_.empty() || !zones_.empty();
}

bool peer_fault_switch::is_cut(const instance_id& instance,
                               const availability_zone& zone) const {
    if (!is_active_) {
        return false;
    }
    const std::lock_guard lock(mutex_);
    return instances_.contains(instance) || zones_.contains(zone);
}

} // namespace savorydock
