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

/// Identifies a histogram.
struct metric_key {
    service_name service;
    class_name class_of_service;
    /// The metric's name in the code, such as "request_seconds".
    std::string name;

    auto operator<=>(const metric_key&) const = default;
};

/// Histograms by service, class and metric name. To bound memory, values for
/// new keys are counted under the service and class "other" once there are
/// `max_series` histograms. All methods are thread safe.
class metrics_registry {
public:
    explicit metrics_registry(std::size_t max_series = 512)
        : max_series_(max_series) {}

    /// Precondition: `key.name` is a valid Prometheus name without the
    /// "savorydock_" prefix.
    void observe(const metric_key& key, std::chrono::duration<double> value);

    /// Returns all series in the Prometheus text format; quantiles are gauges.
    [[nodiscard]] std::string write_text() const;

private:
    std::size_t max_series_;
    mutable std::mutex mutex_;
    std::map<metric_key, latency_histogram> series_;
};

} // namespace savorydock
