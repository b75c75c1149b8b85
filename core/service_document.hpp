#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/object_reader.hpp"
#include "core/outcome.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

enum class service_kind : std::uint8_t {
    /// Plain HTTP calls that are passed through.
    plain,
    /// Model engines, with streams, weight versions and training steps.
    model,
};

enum class routing_policy_kind : std::uint8_t {
    adaptive,
    round_robin,
    least_in_flight,
};

/// Whether a zone may send work to upstreams in other zones.
enum class cross_zone_use : std::uint8_t { never, overflow };

/// A class of callers. Classes with a lower `priority` value go first.
struct class_rule {
    class_name name;
    std::int32_t priority = 0;
    /// Batch work never delays interactive classes.
    bool is_interactive = false;
    std::chrono::milliseconds deadline{0};
    std::uint32_t queue_length = 0;
};

struct caller_rule {
    caller_id name;
    /// The secret that authenticates the caller.
    std::string key;
    class_name class_of_service;
    /// The caller's relative share within its class.
    std::uint32_t weight = 1;
    /// The limit over all instances together; 0 means no limit.
    std::uint32_t requests_per_second = 0;
};

struct upstream_rule {
    upstream_id name;
    availability_zone zone;
    endpoint address;
    /// The maximum number of concurrent requests.
    std::uint32_t slots = 1;
    /// Whether the upstream refuses orders with an outdated fencing number.
    bool checks_fencing = false;
};

/// Properties of one call of a plain service.
struct call_rule {
    std::string path;
    bool is_idempotent = false;
};

/// Rules for a model's weights and samples.
struct weights_rule {
    /// The version that upstreams should run; 0 means no swaps are ordered.
    weight_version version = 0;
    /// Upstreams above `version`, up to this version, may be ordered back to
    /// `version`; 0 disables rollbacks.
    weight_version rollback_from = 0;
    /// How many concurrent fetches the weight store supports, over all
    /// upstreams; 0 means unknown.
    std::uint32_t fetches_at_once = 0;
    endpoint store;
    /// How many versions a sample may be behind the newest at hand-over.
    std::uint32_t staleness_bound = 1;
    /// How the schedule weighs trainer idle time against staleness: 0 considers
    /// staleness only, 1 idle time only.
    double idle_weight = 0.5;
    /// The fraction of upstreams that must stay in service during a roll-out.
    double capacity_floor = 0.5;
};

struct retry_rule {
    /// The maximum number of retries, as a fraction of live traffic.
    double budget = 0.1;
    std::uint32_t max_attempts = 3;
};

/// The configuration of one service as its operators declare it. A value type;
/// a document in force never changes.
struct service_document {
    service_name service;
    service_kind kind = service_kind::plain;
    routing_policy_kind routing = routing_policy_kind::adaptive;
    cross_zone_use cross_zone = cross_zone_use::overflow;
    std::vector<class_rule> classes;
    std::vector<caller_rule> callers;
    std::vector<upstream_rule> upstreams;
    std::vector<call_rule> calls;
    weights_rule weights;
    retry_rule retries;

    /// Returns the caller with this key, or null. Compares in constant time.
    [[nodiscard]] const caller_rule* caller_of_key(std::string_view key) const;
    [[nodiscard]] const class_rule* find_class(const class_name& name) const;
    [[nodiscard]] const upstream_rule*
    find_upstream(const upstream_id& name) const;
    /// Calls without a rule are treated as non-idempotent.
    [[nodiscard]] bool is_idempotent(std::string_view path) const;
};

/// Parses and validates a service document (JSON with comments).
/// Errors: `invalid_json`, or `invalid_document` with all faults.
[[nodiscard]] outcome<service_document>
parse_service_document(std::string_view text);

} // namespace savorydock
