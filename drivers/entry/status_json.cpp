#include "drivers/entry/status_json.hpp"

#include <boost/json/array.hpp>

#include <array>
#include <string_view>

namespace savorydock {

namespace json = boost::json;

namespace {

json::object to_json(const service_status& status) {
    json::object object{
        {"service", status.service.text()}, {"revision", status.revision},
        {"deleted", status.is_deleted},     {"publish_id", status.publish_id},
        {"operator", status.operator_name}, {"age_ms", status.age.count()},
    };
    if (status.refused_revision != 0) {
        object["refused_revision"] = status.refused_revision;
        object["faults"] = status.faults;
    }
    return object;
}

json::object to_json(const decision& made) {
    json::object object{
        {"elapsed_us", made.elapsed.count()},
        {"kind", name_of(made.kind)},
        {"code", static_cast<unsigned>(made.code)},
        {"result", name_of(made.code)},
    };
    if (!made.upstream.is_empty()) {
        object["upstream"] = made.upstream.text();
        object["candidates"] = made.candidates;
        object["report_age_ms"] = made.report_age.count();
    }
    if (!made.detail.empty()) {
        object["detail"] = made.detail;
    }
    return object;
}

json::array to_json(const std::vector<instance_id>& names) {
    json::array list;
    for (const instance_id& name : names) {
        list.emplace_back(name.text());
    }
    return list;
}

json::object to_json(const instance_id& instance,
                     const decision_record& record) {
    json::array decisions;
    for (const decision& made : record.decisions) {
        decisions.push_back(to_json(made));
    }
    return {
        {"instance", instance.text()},
        {"decisions", std::move(decisions)},
        {"dropped", record.dropped},
    };
}

std::string_view name_of(member_condition condition) {
    constexpr std::array<std::string_view, 4> names{"alive", "suspect", "dead",
                                                    "left"};
    return names.at(static_cast<std::size_t>(condition));
}

std::string_view name_of(upstream_condition condition) {
    constexpr std::array<std::string_view, 4> names{"serving", "suspected",
                                                    "leaving", "swapping"};
    return names.at(static_cast<std::size_t>(condition));
}

} // namespace

json::array to_json(const std::vector<member_record>& instances) {
    json::array list;
    for (const member_record& member : instances) {
        json::object entry{{"instance", member.name.text()},
                           {"zone", member.zone.text()},
                           {"peer_address", to_text(member.address)},
                           {"incarnation", member.incarnation},
                           {"condition", name_of(member.condition)}};
        list.push_back(std::move(entry));
    }
    return list;
}

json::array to_json(const upstream_state_map& states) {
    json::array list;
    for (const auto& [key, state] : states) {
        json::object entry{{"service", key.service.text()},
                           {"upstream", key.upstream.text()},
                           {"condition", name_of(state.condition)},
                           {"version", state.version}};
        list.push_back(std::move(entry));
    }
    return list;
}

json::array to_json(const std::vector<scope_status>& scopes) {
    json::array list;
    for (const scope_status& scope : scopes) {
        json::object entry{
            {"service", scope.service.text()}, {"group", scope.group},
            {"fencing", scope.fencing},        {"target", scope.target},
            {"upstreams", scope.upstreams},    {"at_target", scope.at_target},
            {"ordered", scope.ordered},        {"settling", scope.settling},
            {"stop_reason", scope.stop_reason}};
        list.push_back(std::move(entry));
    }
    return list;
}

json::object to_json(const configuration_status& status) {
    json::array services;
    for (const service_status& service : status.services) {
        services.push_back(to_json(service));
    }
    return {
        {"ready", status.is_ready},
        {"complete_through", status.complete_through},
        {"watcher", status.is_watcher},
        {"platform_reachable", status.is_platform_reachable},
        {"services", std::move(services)},
    };
}

json::object to_json(const peer_counters& counters) {
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    for (const peer_topic_counters& topic : counters.topics) {
        bytes_in += topic.bytes_in;
        bytes_out += topic.bytes_out;
    }
    return {
        {"bytes_in", bytes_in},          {"bytes_out", bytes_out},
        {"dropped", counters.dropped},   {"lost", counters.lost},
        {"refused", counters.refused},   {"cut", counters.cut},
        {"connects", counters.connects}, {"open_out", counters.open_out},
        {"open_in", counters.open_in},
    };
}

json::object to_json(const explanation& found) {
    json::array records;
    for (const auto& [instance, record] : found.records) {
        records.push_back(to_json(instance, record));
    }
    return {
        {"subject", found.subject},
        {"records", std::move(records)},
        {"answered", to_json(found.answered)},
        {"silent", to_json(found.silent)},
    };
}

} // namespace savorydock
