#pragma once

#include "core/service_document.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace savorydock::bench {

using bench_seconds = std::chrono::duration<double>;

/// The size of a deployment that is measured.
struct deployment {
    std::string name;
    std::uint32_t model_upstreams = 0;
    std::uint32_t plain_upstreams = 0;
    /// One-way network delays between zones, and from a client to an
    /// instance.
    bench_seconds zone_delay{0};
    bench_seconds client_delay{0};
};

/// A combination of routing, admission and scheduling. All policies are
/// measured with the same load.
struct bench_policy {
    std::string name;
    routing_policy_kind routing = routing_policy_kind::adaptive;
    bool has_admission = false;
    bool has_schedule = false;
    double idle_weight = 0.5;
};

/// Parameters of the load and the faults; times count from the start.
struct bench_load {
    bench_seconds length{1'800};
    std::uint32_t trainers = 3;
    std::uint32_t groups = 24;
    std::uint32_t group_size = 8;
    /// Number of prompts that a trainer draws its groups from.
    std::uint32_t prompts = 96;
    bench_seconds training{70};
    std::uint32_t staleness_bound = 1;
    bench_seconds weights_interval{150};
    bench_seconds swap{12};
    /// Time between the notice of an upstream's swap and its order.
    bench_seconds swap_notice{0};
    bench_seconds failed_swap_retry{30};
    bench_seconds crash_at{500};
    bench_seconds crash_length{60};
    bench_seconds slow_from{300};
    bench_seconds slow_until{900};
    double slow_speed = 0.25;
    double prompt_rate = 2;
    double plain_rate = 40;
    /// Factor on the interactive arrival rate in the middle third of the run.
    double surge = 1;
};

inline constexpr std::uint32_t zone_count = 4;
inline constexpr std::uint32_t instance_count = 9;

[[nodiscard]] std::vector<deployment> all_deployments();

/// The baselines, adaptive routing without and with admission, and all parts
/// together with several values of idle_weight.
[[nodiscard]] std::vector<bench_policy> all_policies();

/// Service documents of a deployment's model service and plain service.
[[nodiscard]] service_document make_model_document(const deployment& setting,
                                                   const bench_policy& policy);
[[nodiscard]] service_document make_plain_document(const deployment& setting,
                                                   const bench_policy& policy);

} // namespace savorydock::bench
