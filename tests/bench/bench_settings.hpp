#pragma once

#include "core/service_document.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace savorydock::bench {

using bench_seconds = std::chrono::duration<double>;

/// One of the two sizes that are measured.
struct deployment {
    std::string name;
    std::uint32_t model_upstreams = 0;
    std::uint32_t plain_upstreams = 0;
    /// One way between zones, and between a client and an instance.
    bench_seconds zone_delay{0};
    bench_seconds client_delay{0};
};

/// A way to route, admit and schedule; all are measured on the same load.
struct bench_policy {
    std::string name;
    routing_policy_kind routing = routing_policy_kind::adaptive;
    bool has_admission = false;
    bool has_schedule = false;
    double idle_weight = 0.5;
};

/// What the load and the faults are made of; times count from the start.
struct bench_load {
    bench_seconds length{1'800};
    std::uint32_t trainers = 3;
    std::uint32_t groups = 24;
    std::uint32_t group_size = 8;
    /// Prompts that a trainer draws its groups from.
    std::uint32_t prompts = 96;
    bench_seconds training{70};
    std::uint32_t staleness_bound = 1;
    bench_seconds weights_interval{150};
    bench_seconds swap{12};
    /// From the notice that an upstream will swap to the order.
    bench_seconds swap_notice{0};
    bench_seconds failed_swap_retry{30};
    bench_seconds crash_at{500};
    bench_seconds crash_length{60};
    bench_seconds slow_from{300};
    bench_seconds slow_until{900};
    double slow_speed = 0.25;
    double prompt_rate = 2;
    double plain_rate = 40;
    /// Interactive arrivals are multiplied by this in the middle third.
    double surge = 1;
};

inline constexpr std::uint32_t zone_count = 4;
inline constexpr std::uint32_t decider_count = 9;

[[nodiscard]] std::vector<deployment> all_deployments();

/// The baselines, the parts, the whole, and the whole over idle_weight.
[[nodiscard]] std::vector<bench_policy> all_policies();

/// Documents of the model and the plain service of a deployment.
[[nodiscard]] service_document make_model_document(const deployment& setting,
                                                   const bench_policy& policy);
[[nodiscard]] service_document make_plain_document(const deployment& setting,
                                                   const bench_policy& policy);

} // namespace savorydock::bench
