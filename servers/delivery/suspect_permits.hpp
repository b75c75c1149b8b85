#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/delivery/delivery_message.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace savorydock {

/// Permits that this instance has granted as the arbiter. A suspected request
/// never runs on two upstreams at once, and an upstream never runs two
/// suspected requests at once. Control thread only.
class suspect_permits {
public:
    /// Returns whether the permit is granted. The same request may be repeated.
    [[nodiscard]] bool grant(const permit_request& request, steady_time now);
    void release(const std::string& permit);

    /// Removes and returns permits that were not released in time. The
    /// instance that held such a permit has probably failed, and the upstream
    /// may have crashed.
    [[nodiscard]] std::vector<permit_request> take_expired(steady_time now);

private:
    struct granted_permit {
        permit_request request;
        steady_time end{};
    };
    std::map<std::string, granted_permit> granted_;
};

/// Selects the instance that grants permits for a service from the live
/// instances, without an election: all instances with the same list select the
/// same one.
/// Precondition: not empty. Thread safe.
[[nodiscard]] instance_id arbiter_of(const service_name& service,
                                     std::span<const instance_id> alive);

} // namespace savorydock
