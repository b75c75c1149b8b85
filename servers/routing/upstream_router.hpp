#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/outcome.hpp"
#include "core/service_document.hpp"
#include "servers/configuration/configuration_view.hpp"
#include "servers/control_server.hpp"
#include "servers/routing/fleet_load.hpp"
#include "servers/routing/upstream_state.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>

namespace savorydock {

/// What a request requires of its upstream. The spans and references must stay
/// valid during the call.
struct route_query {
    const service_in_force& service;
    class_name class_of_service;
    /// A hash of the prompt's first tokens; 0 if there is none.
    std::uint64_t prefix_hash = 0;
    /// Expected length of the answer in tokens; 0 if unknown.
    std::uint32_t expected_tokens = 0;
    /// The oldest weight version that may serve the request.
    weight_version minimum_version = 0;
    /// Upstreams that this request has already tried.
    std::span<const upstream_id> excluded;
};

/// The chosen upstream, with the data for the decision record.
struct route_choice {
    /// Never null. Shares the ownership of the document that contains the rule.
    std::shared_ptr<const upstream_rule> upstream;
    /// Number of upstreams that were considered.
    std::uint32_t candidates = 0;
    /// Age of the chosen upstream's last load report; 0 if it sent none.
    std::chrono::milliseconds report_age{0};
    bool is_cross_zone = false;
};

/// Chooses upstreams for requests. Every method is thread safe and none
/// blocks on I/O.
class upstream_router {
public:
    virtual ~upstream_router() = default;

    /// Chooses an upstream. Errors: `not_run_no_upstream`,
    /// `not_run_overloaded`.
    [[nodiscard]] virtual outcome<route_choice> pick(const route_query& query,
                                                     steady_time now) = 0;

    /// Counts a request in flight on an upstream. Must be paired with `finish`.
    virtual void begin(const service_name& service,
                       const upstream_id& upstream) = 0;
    /// Ends a request that `begin` counted. `latency` must be comparable
    /// between the upstreams of the service: time to the first byte for a plain
    /// call, time per token for a stream; zero if none was measured, for
    /// example because the request was cancelled.
    virtual void finish(const service_name& service,
                        const upstream_id& upstream, upstream_evidence evidence,
                        std::chrono::microseconds latency) = 0;

    /// Records that an upstream probably holds a prompt prefix in its cache.
    /// The hint may be late or wrong.
    virtual void learn_prefix(const service_name& service,
                              const upstream_id& upstream,
                              std::uint64_t prefix_hash, steady_time now) = 0;

    /// Returns the load of a service; all zero if the service is not known.
    /// Iterates over every upstream, so call it on ticks rather than for each
    /// request.
    [[nodiscard]] virtual fleet_load
    load(const service_name& service) const = 0;

    /// Publishes the configuration and upstream states for later picks. Must be
    /// called on the control thread at each change and at least once a second,
    /// because it also updates the upstreams' weights from their latencies.
    /// Precondition: neither pointer is null.
    virtual void publish(std::shared_ptr<const configuration_view> view,
                         std::shared_ptr<const upstream_state_map> states) = 0;
};

} // namespace savorydock
