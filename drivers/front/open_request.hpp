#pragma once

#include "servers/fleet/fleet_state.hpp"

namespace savorydock {

/// Counts a caller's request for a service while this object exists. Not thread
/// safe.
class open_request {
public:
    /// `fleet` must outlive this object.
    open_request(fleet_state& fleet, const service_name& service)
        : count_(fleet.open_requests[service]) {
        ++count_;
    }
    open_request(const open_request&) = delete;
    open_request& operator=(const open_request&) = delete;
    ~open_request() { --count_; }

private:
    /// Entries of the map are never removed.
    std::uint64_t& count_;
};

} // namespace savorydock
