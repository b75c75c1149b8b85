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
    /// Time between request starts on each connection; with 0, the next request
    /// starts when the last response has arrived.
    std::chrono::microseconds interval{0};
};

struct load_result {
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    std::uint64_t answer_bytes = 0;
    /// Latencies of the successful requests, in ascending order.
    std::vector<std::chrono::microseconds> latencies;

    /// The latency below which this fraction of the requests stayed; zero if
    /// none succeeded. Precondition: 0 <= fraction < 1.
    [[nodiscard]] std::chrono::microseconds quantile(double fraction) const;
};

/// Sends the request repeatedly over all connections. Blocks until `duration`
/// has passed and the last responses have arrived or timed out.
[[nodiscard]] load_result run_load(const load_options& options);

} // namespace savorydock
