#include "core/service_document.hpp"

#include "core/secret.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <set>

namespace savorydock {

namespace {

constexpr integer_range any_uint32{0,
                                   std::numeric_limits<std::uint32_t>::max()};
constexpr integer_range deadline_ms_range{1, 3'600'000};
constexpr integer_range slot_range{1, 65'536};
constexpr integer_range priority_range{0, 100};
constexpr integer_range queue_range{0, 1'000'000};
/// In weight versions.
constexpr integer_range staleness_range{0, 1'000};
constexpr integer_range attempt_range{1, 10};
constexpr integer_range weight_range{1, 1'000'000};
constexpr integer_range version_range_limits{
    0, std::numeric_limits<std::int64_t>::max()};

constexpr std::array<std::string_view, 2> kind_names{"plain", "model"};
constexpr std::array<std::string_view, 3> policy_names{
    "adaptive", "round_robin", "least_in_flight"};
constexpr std::array<std::string_view, 2> cross_zone_names{"never", "overflow"};

endpoint read_endpoint(object_reader& reader, std::string_view name) {
    const std::string text = reader.text(name);
    const auto parsed = parse_endpoint(text);
    if (!parsed) {
        if (!text.empty()) {
            reader.report_fault(name, parsed.reason().detail);
        }
        return {};
    }
    return *parsed;
}

class_rule read_class(object_reader& reader) {
    return {
        .name = class_name(reader.text("name")),
        .priority = static_cast<std::int32_t>(
            reader.integer("priority", priority_range, 10)),
        .is_interactive = reader.boolean("interactive", false),
        .deadline = reader.milliseconds("deadline_ms", deadline_ms_range,
                                        std::chrono::seconds(30)),
        .queue_length = static_cast<std::uint32_t>(
            reader.integer("queue_length", queue_range, 1000)),
    };
}

caller_rule read_caller(object_reader& reader) {
    return {
        .name = caller_id(reader.text("name")),
        .key = reader.text("key"),
        .class_of_service = class_name(reader.text("class")),
        .weight = static_cast<std::uint32_t>(
            reader.integer("weight", weight_range, 1)),
        .requests_per_second = static_cast<std::uint32_t>(
            reader.integer("requests_per_second", any_uint32, 0)),
    };
}

upstream_rule read_upstream(object_reader& reader) {
    return {
        .name = upstream_id(reader.text("name")),
        .zone = availability_zone(reader.text("zone")),
        .address = read_endpoint(reader, "address"),
        .slots =
            static_cast<std::uint32_t>(reader.integer("slots", slot_range, 16)),
        .checks_fencing = reader.boolean("checks_fencing", false),
    };
}

call_rule read_call(object_reader& reader) {
    call_rule rule{
        .path = reader.text("path"),
        .is_idempotent = reader.boolean("idempotent"),
    };
    if (!rule.path.empty() && rule.path.front() != '/') {
        reader.report_fault("path", "a path that begins with /");
    }
    return rule;
}

weights_rule read_weights(object_reader& reader) {
    weights_rule rule{
        .version = static_cast<weight_version>(
            reader.integer("version", version_range_limits, 0)),
        .rollback_from = static_cast<weight_version>(
            reader.integer("rollback_from", version_range_limits, 0)),
        .fetches_at_once = static_cast<std::uint32_t>(
            reader.integer("fetches_at_once", any_uint32, 0)),
        .store =
            reader.has("store") ? read_endpoint(reader, "store") : endpoint{},
        .staleness_bound = static_cast<std::uint32_t>(
            reader.integer("staleness_bound", staleness_range, 1)),
        .idle_weight = reader.fraction("idle_weight", 0, 1, 0.5),
        .capacity_floor = reader.fraction("capacity_floor", 0, 1, 0.5),
    };
    if (rule.rollback_from != 0 && rule.rollback_from <= rule.version) {
        reader.report_fault("rollback_from", "a version above `version`");
    }
    return rule;
}

retry_rule read_retries(object_reader& reader) {
    return {
        .budget = reader.fraction("budget", 0, 1, 0.1),
        .max_attempts = static_cast<std::uint32_t>(
            reader.integer("max_attempts", attempt_range, 3)),
    };
}

template <class Rule, class Key>
void check_unique(const std::vector<Rule>& rules, Key key,
                  std::string_view member, object_reader& root) {
    std::set<std::string> seen;
    for (const Rule& rule : rules) {
        if (!seen.insert(key(rule)).second) {
            root.report_fault(member,
                              "distinct values, not " + key(rule) + " twice");
        }
    }
}

void check_references(const service_document& document, object_reader& root) {
    check_unique(
        document.callers, [](const auto& r) { return r.name.text(); },
        "callers", root);
    check_unique(
        document.classes, [](const auto& r) { return r.name.text(); },
        "classes", root);
    check_unique(
        document.upstreams, [](const auto& r) { return r.name.text(); },
        "upstreams", root);
    check_unique(
        document.calls, [](const auto& r) { return r.path; }, "calls", root);
    for (const caller_rule& caller : document.callers) {
        if (document.find_class(caller.class_of_service) == nullptr) {
            root.report_fault("callers", "a declared class for " +
                                             caller.name.text() + ", not " +
                                             caller.class_of_service.text());
        }
    }
    if (document.kind == service_kind::model && !document.calls.empty()) {
        root.report_fault("calls",
                          "no entries; a model service has no plain calls");
    }
    std::set<std::string> keys;
    for (const caller_rule& caller : document.callers) {
        if (!keys.insert(caller.key).second) {
            root.report_fault("callers",
                              "a unique key for " + caller.name.text());
        }
    }
}

} // namespace

const caller_rule* service_document::caller_of_key(std::string_view key) const {
    const caller_rule* match = nullptr;
    for (const caller_rule& caller : callers) {
        if (is_same_secret(caller.key, key)) {
            match = &caller;
        }
    }
    return match;
}

const class_rule* service_document::find_class(const class_name& name) const {
    const auto found =
        std::find_if(classes.begin(), classes.end(),
                     [&](const auto& rule) { return rule.name == name; });
    return found == classes.end() ? nullptr : &*found;
}

const upstream_rule*
service_document::find_upstream(const upstream_id& name) const {
    const auto found =
        std::find_if(upstreams.begin(), upstreams.end(),
                     [&](const auto& rule) { return rule.name == name; });
    return found == upstreams.end() ? nullptr : &*found;
}

bool service_document::is_idempotent(std::string_view path) const {
    const auto found =
        std::find_if(calls.begin(), calls.end(),
                     [&](const auto& rule) { return rule.path == path; });
    return found != calls.end() && found->is_idempotent;
}

outcome<service_document> parse_service_document(std::string_view text) {
    const auto parsed = parse_commented_json(text);
    if (!parsed) {
        return parsed.reason();
    }
    std::vector<document_fault> faults;
    object_reader root(*parsed, "", faults);
    service_document document;
    document.service = service_name(root.text("service"));
    document.kind = static_cast<service_kind>(root.choice("kind", kind_names));
    document.routing = static_cast<routing_policy_kind>(
        root.choice("routing", policy_names, 0));
    document.cross_zone = static_cast<cross_zone_use>(
        root.choice("cross_zone", cross_zone_names, 1));
    root.objects("classes", true, [&](object_reader& reader) {
        document.classes.push_back(read_class(reader));
    });
    root.objects("callers", true, [&](object_reader& reader) {
        document.callers.push_back(read_caller(reader));
    });
    root.objects("upstreams", true, [&](object_reader& reader) {
        document.upstreams.push_back(read_upstream(reader));
    });
    root.objects("calls", false, [&](object_reader& reader) {
        document.calls.push_back(read_call(reader));
    });
    root.object("weights", document.kind == service_kind::model,
                [&](object_reader& reader) {
                    document.weights = read_weights(reader);
                });
    root.object("retries", false, [&](object_reader& reader) {
        document.retries = read_retries(reader);
    });
    check_references(document, root);
    root.finish();
    if (!faults.empty()) {
        return failure{result_code::invalid_document, to_text(faults)};
    }
    return document;
}

} // namespace savorydock
