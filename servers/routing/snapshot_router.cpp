#include "servers/routing/snapshot_router.hpp"

#include <utility>

namespace savorydock {

namespace {

std::size_t index_of(routing_policy_kind kind) {
    return static_cast<std::size_t>(kind);
}

} // namespace

snapshot_router::snapshot_router(availability_zone home, std::uint64_t seed)
    : builder_(std::move(home))
    , snapshot_(std::make_shared<const routing_snapshot>()) {
    for (std::size_t kind = 0; kind < policy_kind_count; ++kind) {
        policies_[kind] = make_routing_policy(
            static_cast<routing_policy_kind>(kind), mix_bits(seed));
    }
}

void snapshot_router::replace_policy(routing_policy_kind kind,
                                     std::unique_ptr<routing_policy> policy) {
    policies_[index_of(kind)] = std::move(policy);
}

outcome<route_choice> snapshot_router::pick(const route_query& query,
                                            steady_time now) {
    const auto snapshot = snapshot_.load(std::memory_order_acquire);
    const routed_service* const service =
        snapshot->find(query.service.document->service);
    if (service == nullptr) {
        return no_upstream_reason();
    }
    const routing_policy_kind kind = service->layout->document->routing;
    return policies_[index_of(kind)]->choose(*service, query, now);
}

std::shared_ptr<upstream_counters>
snapshot_router::counters_of(const service_name& service,
                             const upstream_id& upstream) const {
    const auto snapshot = snapshot_.load(std::memory_order_acquire);
    const routed_service* const routed = snapshot->find(service);
    if (routed == nullptr) {
        return nullptr;
    }
    const auto found = routed->layout->counters_by_name.find(upstream);
    return found == routed->layout->counters_by_name.end() ? nullptr
                                                           : found->second;
}

void snapshot_router::begin(const service_name& service,
                            const upstream_id& upstream) {
    if (const auto counters = counters_of(service, upstream)) {
        counters->begin();
    }
}

void snapshot_router::finish(const service_name& service,
                             const upstream_id& upstream,
                             upstream_evidence evidence,
                             std::chrono::microseconds latency) {
    if (const auto counters = counters_of(service, upstream)) {
        counters->finish(evidence, latency);
    }
}

void snapshot_router::learn_prefix(const service_name& service,
                                   const upstream_id& upstream,
                                   std::uint64_t prefix_hash, steady_time now) {
    const auto snapshot = snapshot_.load(std::memory_order_acquire);
    const routed_service* const routed = snapshot->find(service);
    if (routed == nullptr) {
        return;
    }
    const auto found = routed->layout->positions.find(upstream);
    if (found != routed->layout->positions.end()) {
        routed->layout->directory->learn(prefix_hash, found->second, now);
    }
}

fleet_load snapshot_router::load(const service_name& service) const {
    const auto snapshot = snapshot_.load(std::memory_order_acquire);
    const routed_service* const routed = snapshot->find(service);
    fleet_load total;
    if (routed == nullptr) {
        return total;
    }
    for (std::size_t at = 0; at < routed->upstreams.size(); ++at) {
        const routed_upstream& upstream = routed->upstreams[at];
        const std::uint32_t own = routed->layout->counters[at]->in_flight();
        total.own_in_flight += own;
        if (upstream.condition == upstream_condition::serving) {
            total.slots += upstream.slots;
            total.load += own + upstream.load_by_others;
        }
    }
    return total;
}

void snapshot_router::publish(
    std::shared_ptr<const configuration_view> view,
    std::shared_ptr<const upstream_state_map> states) {
    snapshot_.store(builder_.build(*view, *states), std::memory_order_release);
}

} // namespace savorydock
