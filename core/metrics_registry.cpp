#include "core/metrics_registry.hpp"

#include <sstream>
#include <string_view>

namespace savorydock {

namespace {

/// Escapes a label value as the Prometheus text format requires.
std::string escape(std::string_view text) {
    std::string escaped;
    for (const char character : text) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character;
    }
    return escaped;
}

std::string labels_of(const metric_key& key) {
    return "service=\"" + escape(key.service.text()) + "\",class=\"" +
           escape(key.class_of_service.text()) + '"';
}

void write_histogram(std::ostream& out, const std::string& name,
                     const std::string& labels,
                     const latency_histogram& histogram) {
    const auto counts = histogram.cumulative_counts();
    for (std::size_t index = 0; index < counts.size(); ++index) {
        out << name << "_bucket{" << labels << ",le=\""
            << latency_histogram::bounds[index] << "\"} " << counts[index]
            << '\n';
    }
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << histogram.count()
        << '\n'
        << name << "_sum{" << labels << "} " << histogram.sum().count() << '\n'
        << name << "_count{" << labels << "} " << histogram.count() << '\n';
}

void write_quantiles(std::ostream& out, const std::string& name,
                     const std::string& labels,
                     const latency_histogram& histogram) {
    const auto values = histogram.quantile_values();
    for (std::size_t index = 0; index < values.size(); ++index) {
        out << name << "_quantile{" << labels << ",quantile=\""
            << latency_histogram::quantiles[index] << "\"} "
            << values[index].count() << '\n';
    }
}

} // namespace

void metrics_registry::observe(const metric_key& key,
                               std::chrono::duration<double> value) {
    const std::lock_guard lock(mutex_);
    const auto found = series_.find(key);
    if (found != series_.end()) {
        found->second.add(value);
        return;
    }
    if (series_.size() < max_series_) {
        series_[key].add(value);
        return;
    }
    series_[{service_name("other"), class_name("other"), key.name}].add(value);
}

std::string metrics_registry::write_text() const {
    const std::lock_guard lock(mutex_);
    // The format requires that all lines of a metric are adjacent.
    std::map<std::string, std::map<std::string, const latency_histogram*>>
        by_name;
    for (const auto& [key, histogram] : series_) {
        by_name["savorydock_" + key.name][labels_of(key)] = &histogram;
    }
    std::ostringstream out;
    for (const auto& [name, family] : by_name) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto& [labels, histogram] : family) {
            write_histogram(out, name, labels, *histogram);
        }
        out << "# TYPE " << name << "_quantile gauge\n";
        for (const auto& [labels, histogram] : family) {
            write_quantiles(out, name, labels, *histogram);
        }
    }
    return out.str();
}

} // namespace savorydock
