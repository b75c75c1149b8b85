#pragma once

#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// What may be repeated of a request.
enum class request_kind : std::uint8_t {
    /// May run more than once.
    idempotent,
    /// Runs at most once for each sending.
    at_most_once,
    /// A stream of events; resumable if its route says so.
    stream,
    /// A batch of items that run later.
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
    /// The longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout{10'000};
    /// The time within which an answer is worth its full value.
    std::chrono::milliseconds target_latency{1'000};
    /// Rank among the routes of a service; 0 goes first.
    std::uint32_t priority = 5;
    std::vector<service_share> services;
    /// Upstreams that one sending may run on.
    std::uint32_t max_attempts = 1;
    bool is_resumable = false;
    /// Time from the submission of a batch to its last useful result.
    std::chrono::milliseconds batch_target{0};
    /// Time from the submission after which an item may be given up.
    std::chrono::milliseconds batch_time_to_live{0};
    /// All events of a sample must come from one version of the weights.
    bool is_single_version = false;
};

/// The engine part of a service.
struct engine_rule {
    std::uint32_t slots = 1;
    std::uint64_t cache_tokens = 0;
    /// Tokens in one event of a stream.
    std::uint64_t tokens_per_event = 1;
    std::vector<std::string> models;
};

/// A service that routes lead to.
struct service_rule {
    service_name name;
    /// Connections that one upstream takes from all instances together.
    std::uint32_t max_connections = 0;
    std::optional<engine_rule> engine;
};

/// What callers may send, and how long they may take over it.
struct caller_bounds {
    std::uint32_t max_header_bytes = 16'384;
    std::uint32_t max_body_bytes = 33'554'432;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// One version of the operators' configuration. Immutable once published.
struct fleet_configuration {
    std::uint64_t version = 0;
    /// The store's revision that carries it.
    store_revision revision = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    caller_bounds bounds;
};

} // namespace savorydock
