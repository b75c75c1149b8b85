#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace savorydock {

/// One upstream as it registered itself in the platform's store.
struct upstream_entry {
    upstream_id id;
    service_name service;
    endpoint address;
    availability_zone zone;
    std::uint32_t slots = 1;
    /// It finishes what it has and takes nothing new.
    bool is_draining = false;
    /// Start of this incarnation, in Unix milliseconds; 0 if it doesn't say.
    std::uint64_t started_at = 0;
    /// Versions of the weights it holds, by model.
    std::map<std::string, weight_version> versions;

    bool operator==(const upstream_entry&) const = default;
};

} // namespace savorydock
