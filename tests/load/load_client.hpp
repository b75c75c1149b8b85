#pragma once

#include "core/endpoint.hpp"
#include "drivers/http/http_client.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace savorydock {

struct load_options {
    endpoint target;
    http_request request;
    std::uint32_t connections = 16;
    std::chrono::milliseconds duration{3'000};
    /// Each connection begins a request that often; 0 follows the answers.
    std::chrono::microseconds interval{0};
};

struct load_result {
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    std::uint64_t answer_bytes = 0;
    /// Sorted.
    std::vector<std::chrono::microseconds> latencies;

    /// Precondition: 0 <= part < 1. Zero without answers.
    [[nodiscard]] std::chrono::microseconds quantile(double part) const;
};

/// Sends one request again and again on a thread of its own; bounded by the
/// duration. Blocks.
[[nodiscard]] load_result run_load(const load_options& options);

} // namespace savorydock
