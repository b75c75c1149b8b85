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

/// What one request wants of its upstream. The spans and references must
/// live through the call.
struct route_query {
    const service_in_force& service;
    class_name class_of_service;
    /// A hash of the prompt's first tokens, 0 if there is none.
    std::uint64_t prefix_hash = 0;
    /// Expected length of the answer in tokens, 0 if it is not known.
    std::uint32_t expected_tokens = 0;
    /// The oldest weights that may serve the request.
    weight_version minimum_version = 0;
    /// Upstreams that this request has tried.
    std::span<const upstream_id> excluded;
};

/// The upstream chosen and why, for the decision record.
struct route_choice {
    /// Never null; keeps the document it is part of alive.
    std::shared_ptr<const upstream_rule> upstream;
    std::uint32_t candidates = 0;
    /// Age of the newest load report that was weighed.
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

    /// Counts a request in flight on an upstream. Pair it with `finish`.
    virtual void begin(const service_name& service,
                       const upstream_id& upstream) = 0;
    /// `latency` must be comparable between the upstreams of the service:
    /// time to the first byte of a plain call, time per token of a stream;
    /// zero if none was seen, as of a request that was cancelled.
    virtual void finish(const service_name& service,
                        const upstream_id& upstream, upstream_evidence evidence,
                        std::chrono::microseconds latency) = 0;

    /// Takes a hint, late and perhaps wrong, that an upstream holds a prompt
    /// prefix in its cache.
    virtual void learn_prefix(const service_name& service,
                              const upstream_id& upstream,
                              std::uint64_t prefix_hash, steady_time now) = 0;

    /// The load of a service; all zero if it is not known. Looks at every
    /// upstream: call it on ticks, not for each request.
    [[nodiscard]] virtual fleet_load
    load(const service_name& service) const = 0;

    /// Takes what control knows. Called on the control thread, at each change
    /// and at least once a second, since weights by latency are set here.
    /// Precondition: neither pointer is null.
    virtual void publish(std::shared_ptr<const configuration_view> view,
                         std::shared_ptr<const upstream_state_map> states) = 0;
};

} // namespace savorydock
