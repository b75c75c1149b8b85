#include "tests/bench/bench_settings.hpp"

namespace savorydock::bench {

namespace {

constexpr std::uint32_t model_slots = 16;
constexpr std::uint32_t plain_slots = 8;
constexpr std::uint32_t batch_queue_length = 100'000;
constexpr std::uint32_t prompt_queue_length = 1'000;

service_document make_document(const char* name, service_kind kind,
                               std::uint32_t upstreams, std::uint32_t slots,
                               const bench_policy& policy) {
    service_document document{
        .service = service_name(name), .kind = kind, .routing = policy.routing};
    document.classes = {{.name = class_name("batch"),
                         .priority = 10,
                         .queue_length = batch_queue_length},
                        {.name = class_name("prompt"),
                         .priority = 1,
                         .is_interactive = true,
                         .queue_length = prompt_queue_length}};
    for (std::uint32_t index = 0; index < upstreams; ++index) {
        document.upstreams.push_back(
            {.name = upstream_id(name + std::to_string(index)),
             .zone =
                 availability_zone("z" + std::to_string(index % zone_count)),
             .slots = slots});
    }
    return document;
}

} // namespace

std::vector<deployment> all_deployments() {
    return {{.name = "deployment_a",
             .model_upstreams = 9,
             .plain_upstreams = 4,
             .zone_delay = std::chrono::microseconds(1'500),
             .client_delay = std::chrono::milliseconds(3)},
            {.name = "deployment_b",
             .model_upstreams = 8,
             .plain_upstreams = 5,
             .zone_delay = std::chrono::microseconds(500),
             .client_delay = std::chrono::milliseconds(1)}};
}

std::vector<bench_policy> all_policies() {
    std::vector<bench_policy> policies{
        {.name = "round_robin", .routing = routing_policy_kind::round_robin},
        {.name = "least_in_flight",
         .routing = routing_policy_kind::least_in_flight},
        {.name = "adaptive"},
        {.name = "adaptive+admission", .has_admission = true}};
    for (const double weight : {0.0, 0.25, 0.5, 0.75, 1.0}) {
        policies.push_back(
            {.name = "whole/" + std::to_string(weight).substr(0, 4),
             .has_admission = true,
             .has_schedule = true,
             .idle_weight = weight});
    }
    return policies;
}

service_document make_model_document(const deployment& setting,
                                     const bench_policy& policy) {
    return make_document("model", service_kind::model, setting.model_upstreams,
                         model_slots, policy);
}

service_document make_plain_document(const deployment& setting,
                                     const bench_policy& policy) {
    return make_document("plain", service_kind::plain, setting.plain_upstreams,
                         plain_slots, policy);
}

} // namespace savorydock::bench
