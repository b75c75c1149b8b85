#pragma once

#include "core/ids.hpp"
#include "core/latency_histogram.hpp"

#include <chrono>
#include <compare>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace savorydock {

/// What a histogram is about.
struct metric_key {
    service_name service;
    class_name class_of_service;
    /// A name of the code's own, such as "request_seconds".
    std::string name;

    auto operator<=>(const metric_key&) const = default;
};

/// Histograms for each service and class, bounded in number: what comes once
/// it is full is counted under the class "other". Every method is thread safe.
class metrics_registry {
public:
    explicit metrics_registry(std::size_t max_series = 512)
        : max_series_(max_series) {}

    /// Precondition: `key.name` is a valid Prometheus name without prefix.
    void observe(const metric_key& key, std::chrono::duration<double> value);

    /// All series in the Prometheus text format, quantiles as gauges.
    [[nodiscard]] std::string write_text() const;

private:
    std::size_t max_series_;
    mutable std::mutex mutex_;
    std::map<metric_key, latency_histogram> series_;
};

} // namespace savorydock
