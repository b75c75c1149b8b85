#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace savorydock {

/// A revision that instances should have in force.
struct awaited_revision {
    service_name service;
    store_revision revision = 0;
};

/// The last known progress of an instance.
struct instance_progress {
    endpoint address;
    std::string instance;
    bool has_all_revisions = false;
    /// Which revision is missing, or why the query failed.
    std::string detail;
};

/// Polls instances over their operator interface until all have the revisions
/// (or later ones) in force, or the timeout has passed. Returns one row per
/// address. Blocks; thread safe.
[[nodiscard]] std::vector<instance_progress>
wait_for_revisions(const std::vector<endpoint>& instances,
                   const std::string& operator_key,
                   const std::vector<awaited_revision>& revisions,
                   std::chrono::milliseconds timeout);

} // namespace savorydock
