#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace savorydock {

/// A revision that instances are to have in force.
struct awaited_revision {
    service_name service;
    store_revision revision = 0;
};

/// What an instance said last.
struct instance_progress {
    endpoint address;
    std::string instance;
    bool has_all = false;
    /// What it lacks, or why it could not be asked.
    std::string detail;
};

/// Asks instances over their operators' interface until all have the
/// revisions (or later ones) in force, or the timeout has passed. Returns one
/// row for each address. Blocks; thread safe.
[[nodiscard]] std::vector<instance_progress>
wait_for_revisions(const std::vector<endpoint>& instances,
                   const std::string& operator_key,
                   const std::vector<awaited_revision>& revisions,
                   std::chrono::milliseconds timeout);

} // namespace savorydock
