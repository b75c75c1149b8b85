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
    /// Plain HTTP calls are passed through.
    plain,
    /// A model engine with streams, versions and steps.
    model,
};

enum class routing_policy_kind : std::uint8_t {
    adaptive,
    round_robin,
    least_in_flight,
};

/// Whether a zone may send work to the upstreams of another zone.
enum class cross_zone_use : std::uint8_t { never, overflow };

/// A class of callers. Lower `priority` goes first.
struct class_rule {
    class_name name;
    std::int32_t priority = 0;
    /// Interactive classes are never delayed by batch work.
    bool is_interactive = false;
    std::chrono::milliseconds deadline{0};
    std::uint32_t queue_length = 0;
};

struct caller_rule {
    caller_id name;
    /// The secret that the caller presents.
    std::string key;
    class_name class_of_service;
    /// Share among callers of one class.
    std::uint32_t weight = 1;
    /// Limit over all instances together; 0 means none.
    std::uint32_t requests_per_second = 0;
};

struct upstream_rule {
    upstream_id name;
    availability_zone zone;
    endpoint address;
    /// Requests that it takes at once.
    std::uint32_t slots = 1;
    /// Whether it refuses orders that carry an old fencing number.
    bool checks_fencing = false;
};

/// How one call of a plain service may be treated.
struct call_rule {
    std::string path;
    bool is_idempotent = false;
};

/// Rules for a model's weights and samples.
struct weights_rule {
    /// The version that upstreams should run; 0 leaves them alone.
    weight_version version = 0;
    /// Upstreams at up to this version may be ordered back to `version`; 0
    /// never orders any back.
    weight_version rollback_from = 0;
    /// Fetches that the store takes at once, all upstreams together; 0 means
    /// it is not known.
    std::uint32_t fetches_at_once = 0;
    endpoint store;
    /// Versions that a sample may lag behind the newest at hand-over.
    std::uint32_t staleness_bound = 1;
    /// 0 weighs staleness only, 1 weighs trainer idle time only.
    double idle_weight = 0.5;
    /// The fraction of upstreams that must stay in service in a roll-out.
    double capacity_floor = 0.5;
};

struct retry_rule {
    /// Retries as a fraction of live traffic.
    double budget = 0.1;
    std::uint32_t max_attempts = 3;
};

/// One service as its operators declare it. A value; never changed once in
/// force.
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

    /// The rule of a caller's key, or null. Compares in constant time.
    [[nodiscard]] const caller_rule* caller_of_key(std::string_view key) const;
    [[nodiscard]] const class_rule* find_class(const class_name& name) const;
    [[nodiscard]] const upstream_rule*
    find_upstream(const upstream_id& name) const;
    /// Calls that no rule names are taken to be non-idempotent.
    [[nodiscard]] bool is_idempotent(std::string_view path) const;
};

/// Reads and checks one service document (JSON with comments).
/// Errors: `invalid_json`, or `invalid_document` with all faults.
[[nodiscard]] outcome<service_document>
parse_service_document(std::string_view text);

} // namespace savorydock
