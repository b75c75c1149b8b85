#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace savorydock {

/// An upstream's registration in the platform's store.
struct upstream_entry {
    upstream_id id;
    service_name service;
    endpoint address;
    availability_zone zone;
    std::uint32_t slots = 1;
    /// The upstream finishes its current requests and accepts no new ones.
    bool is_draining = false;
    /// Start time of its process in Unix milliseconds; 0 if not stated.
    std::uint64_t started_at = 0;
    /// What upstreams of different software versions write doesn't fit
    /// together.
    software_version software;
    /// It may be taken away at short notice, together with the others of its
    /// zone.
    bool is_reclaimable = false;
    /// Version of the weights that it has loaded, by model.
    std::map<std::string, weight_version> versions;

    bool operator==(const upstream_entry&) const = default;
};

} // namespace savorydock
