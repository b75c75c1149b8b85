#pragma once

#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// How a request is executed and whether it may be repeated.
enum class request_kind : std::uint8_t {
    /// May run more than once.
    idempotent,
    /// Runs at most once each time the caller sends it.
    at_most_once,
    /// A stream of events; resumable if its route says so.
    stream,
    /// A batch of items that are run asynchronously.
    batch,
    /// A batch of one training step, with groups, versions and scores.
    sample_batch,
};

/// A service and its share of a route's requests.
struct service_share {
    service_name service;
    std::uint32_t weight = 1;
};

/// How requests to one host and path prefix are handled.
struct route_rule {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::idempotent;
    /// Maximum time that a caller waits for the response.
    std::chrono::milliseconds timeout{10'000};
    /// Response time up to which an answer keeps its full value to the caller.
    std::chrono::milliseconds target_latency{1'000};
    /// Priority among the routes of a service; 0 is the highest.
    std::uint32_t priority = 5;
    std::vector<service_share> services;
    /// Maximum number of upstreams tried for one request.
    std::uint32_t max_attempts = 1;
    bool is_resumable = false;
    /// Target time from the submission of a batch to its last useful result.
    std::chrono::milliseconds batch_target{0};
    /// Time after submission at which an item may be abandoned.
    std::chrono::milliseconds batch_time_to_live{0};
    /// All events of a sample must come from the same version of the weights.
    bool is_single_version = false;
    /// Callers need no key, also where the configuration has organisations.
    bool is_public = false;
};

/// An organisation whose callers identify themselves by its keys.
struct organisation_rule {
    organisation_id name;
    std::vector<std::string> keys;
    /// Takes precedence over the priority of routes; 0 is the highest.
    std::optional<std::uint32_t> priority;
};

/// Settings of a service whose upstreams are model engines.
struct engine_rule {
    std::uint32_t slots = 1;
    std::uint64_t cache_tokens = 0;
    /// Tokens in one event of a stream.
    std::uint64_t tokens_per_event = 1;
    std::vector<std::string> models;
};

/// How many upstreams of a service may be ordered, and what they cost.
struct scaling_rule {
    /// Per zone, for both kinds of upstreams together.
    std::uint32_t min_upstreams = 0;
    std::uint32_t max_upstreams = 0;
    /// From the order until a new upstream serves.
    std::chrono::milliseconds start_time{0};
    /// Price of a reclaimable upstream as a fraction of that of others.
    double spot_price = 1;
    /// Price of one upstream for a second, by zone.
    std::map<availability_zone, double> zone_prices;
};

/// A service to which routes send requests.
struct service_rule {
    service_name name;
    /// Connections that one upstream accepts from all instances together.
    std::uint32_t max_connections = 0;
    std::optional<engine_rule> engine;
    /// Absent if upstreams of the service can't be ordered.
    std::optional<scaling_rule> scaling;
};

/// Size and time limits for requests of callers.
struct caller_bounds {
    std::uint32_t max_header_bytes = 16'384;
    std::uint32_t max_body_bytes = 33'554'432;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// One version of the operators' configuration. Immutable once published.
struct fleet_configuration {
    std::uint64_t version = 0;
    /// Revision of the store at which this version was written.
    store_revision revision = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    /// If empty, callers need no keys.
    std::vector<organisation_rule> organisations;
    caller_bounds bounds;
};

} // namespace savorydock
