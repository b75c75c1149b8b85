#pragma once

#include "core/clock.hpp"
#include "servers/fleet/fleet_configuration.hpp"
#include "servers/fleet/upstream_entry.hpp"
#include "servers/streams/stream_origin.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

struct default_origin_options {
    /// How long no upstream of a default origin must have been listed before
    /// another one replaces it; longer than any stream without a record lives.
    std::chrono::milliseconds replace_after{35'000};
};

/// Chooses, for each resumable route, the origin of the streams that have no
/// record in the store. Only streams of other origins cost a write.
///
/// Load pattern: a service is replaced engine by engine, or runs two software
/// versions for hours, while callers begin and continue streams at all
/// instances. A default is replaced only after all streams without a record
/// that began at it have ended, so an instance that learns of the new default
/// late records too much or refuses, but never takes one origin for another.
///
/// Not thread safe; deterministic.
class default_origin_keeper {
public:
    explicit default_origin_keeper(default_origin_options options = {});

    /// Returns the defaults that should be in force, given those that are.
    /// Precondition: the lists are up to date.
    [[nodiscard]] default_origins
    update(const std::vector<route_rule>& routes,
           const std::vector<upstream_entry>& upstreams,
           const default_origins& in_force, steady_time now);

    /// The lists may be out of date: forgets since when origins are absent.
    void reset() { absent_since_.clear(); }

private:
    default_origin_options options_;
    /// By route: when its default origin was first seen without upstreams.
    std::map<std::string, steady_time> absent_since_;
};

} // namespace savorydock
