#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/delivery/delivery_message.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace savorydock {

/// The arbiter's side of running suspects: a suspect runs on one upstream at a
/// time, and an upstream runs one suspect at a time. Control thread only.
class suspect_permits {
public:
    /// Grants the run, or not. The same ask may be repeated.
    [[nodiscard]] bool grant(const permit_ask& ask, steady_time now);
    void release(const std::string& permit);

    /// Takes out permits that were not released in time: their holder is gone,
    /// perhaps with the upstream.
    [[nodiscard]] std::vector<permit_ask> take_expired(steady_time now);

private:
    struct granted_permit {
        permit_ask ask;
        steady_time end{};
    };
    std::map<std::string, granted_permit> granted_;
};

/// The instance that gives permits for a service among those that are alive:
/// the same on all instances with the same list, without an election.
/// Precondition: not empty. Thread safe.
[[nodiscard]] instance_id arbiter_of(const service_name& service,
                                     std::span<const instance_id> alive);

} // namespace savorydock
