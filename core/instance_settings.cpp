#include "core/instance_settings.hpp"

#include "core/object_reader.hpp"
#include "core/text_file.hpp"

#include <array>

namespace savorydock {

namespace {

constexpr integer_range thread_range{1, 64};
constexpr integer_range memory_mb_range{32, 16'777'216};
constexpr integer_range lease_seconds_range{4, 300};
constexpr integer_range order_ms_range{1'000, 3'600'000};
constexpr integer_range drain_ms_range{0, 3'600'000};
constexpr integer_range connection_range{1, 1'000'000};
constexpr integer_range header_bytes_range{1'024, 1'048'576};
constexpr integer_range body_bytes_range{1'024, 1'073'741'824};
constexpr integer_range timeout_ms_range{10, 600'000};
constexpr std::array<std::string_view, 4> level_names{"debug", "info",
                                                      "warning", "error"};

endpoint read_address(object_reader& reader, std::string_view name) {
    const std::string text = reader.text(name);
    const auto parsed = parse_endpoint(text);
    if (!parsed && !text.empty()) {
        reader.report_fault(name, parsed.reason().detail);
    }
    return parsed ? *parsed : endpoint{};
}

caller_limits read_limits(object_reader& reader) {
    const caller_limits defaults;
    return {
        .max_connections = static_cast<std::uint32_t>(reader.integer(
            "max_connections", connection_range, defaults.max_connections)),
        .max_header_bytes = static_cast<std::uint32_t>(reader.integer(
            "max_header_bytes", header_bytes_range, defaults.max_header_bytes)),
        .max_body_bytes = static_cast<std::uint32_t>(reader.integer(
            "max_body_bytes", body_bytes_range, defaults.max_body_bytes)),
        .io_timeout = reader.milliseconds("io_timeout_ms", timeout_ms_range,
                                          defaults.io_timeout),
    };
}

order_limits read_orders(object_reader& reader) {
    const order_limits defaults;
    return {
        .lease_time = std::chrono::seconds(reader.integer(
            "lease_seconds", lease_seconds_range, defaults.lease_time.count())),
        .longest_order = reader.milliseconds("longest_order_ms", order_ms_range,
                                             defaults.longest_order),
    };
}

void read_platform(object_reader& root, instance_settings& settings) {
    for (const std::string& text : root.texts("platform")) {
        const auto parsed = parse_endpoint(text);
        if (!parsed) {
            root.report_fault("platform", parsed.reason().detail);
            continue;
        }
        settings.platform.push_back(*parsed);
    }
    if (settings.platform.empty()) {
        root.report_fault("platform", "at least one address");
    }
}

} // namespace

outcome<instance_settings> parse_instance_settings(std::string_view text) {
    const auto parsed = parse_commented_json(text);
    if (!parsed) {
        return failure{result_code::invalid_settings, parsed.reason().detail};
    }
    std::vector<document_fault> faults;
    object_reader root(*parsed, "", faults);
    instance_settings settings;
    settings.instance = instance_id(root.text("instance"));
    settings.zone = availability_zone(root.text("zone"));
    settings.caller_listen = read_address(root, "caller_listen");
    settings.operator_listen = read_address(root, "operator_listen");
    settings.peer_listen = read_address(root, "peer_listen");
    settings.operator_key = root.text("operator_key");
    settings.peer_key = root.text("peer_key");
    read_platform(root, settings);
    root.objects("peers", false, [&](object_reader& reader) {
        settings.peers.push_back({
            .name = instance_id(reader.text("name")),
            .zone = availability_zone(reader.text("zone")),
            .address = read_address(reader, "address"),
        });
    });
    settings.traffic_threads = static_cast<std::uint32_t>(
        root.integer("traffic_threads", thread_range, 2));
    settings.memory_mb = static_cast<std::uint32_t>(
        root.integer("memory_mb", memory_mb_range, 0));
    settings.drain_timeout = root.milliseconds(
        "drain_timeout_ms", drain_ms_range, settings.drain_timeout);
    settings.log_file = root.text("log_file", "-");
    settings.log_level = level_names[root.choice("log_level", level_names, 1)];
    settings.chart_folder = root.text("chart_folder");
    root.object("limits", false, [&](object_reader& reader) {
        settings.limits = read_limits(reader);
    });
    root.object("orders", false, [&](object_reader& reader) {
        settings.orders = read_orders(reader);
    });
    root.finish();
    if (!faults.empty()) {
        return failure{result_code::invalid_settings, to_text(faults)};
    }
    return settings;
}

outcome<instance_settings> load_instance_settings(const std::string& file) {
    const auto text = read_text_file(file);
    if (!text) {
        return text.reason();
    }
    auto settings = parse_instance_settings(*text);
    if (!settings) {
        return failure{settings.reason().code,
                       file + ": " + settings.reason().detail};
    }
    return settings;
}

} // namespace savorydock
