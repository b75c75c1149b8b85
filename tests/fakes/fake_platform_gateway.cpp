#include "tests/fakes/fake_platform_gateway.hpp"

#include "core/base64.hpp"

#include <boost/json.hpp>

#include <stdexcept>

namespace savorydock {

namespace {

namespace json = boost::json;

std::uint64_t number_of(const json::object& object, std::string_view name) {
    const json::value* const member = object.if_contains(name);
    if (member == nullptr) {
        return 0;
    }
    return member->is_string() ? std::stoull(std::string(member->as_string()))
                               : member->to_number<std::uint64_t>();
}

std::string bytes_of(const json::object& object, std::string_view name) {
    const json::value* const member = object.if_contains(name);
    if (member == nullptr) {
        return {};
    }
    const auto bytes = from_base64(std::string_view(member->as_string()));
    if (!bytes) {
        throw std::invalid_argument(std::string(name));
    }
    return *bytes;
}

void set_number(json::object& object, std::string_view name,
                std::uint64_t number) {
    if (number != 0) {
        object[name] = std::to_string(number);
    }
}

json::object header_of(const fake_platform_store& store) {
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(store.revision())},
            {"raft_term", "2"}};
}

json::object to_kv(const stored_value& value) {
    json::object kv{{"key", to_base64(value.key)}};
    if (!value.value.empty()) {
        kv["value"] = to_base64(value.value);
    }
    set_number(kv, "create_revision", value.created);
    set_number(kv, "mod_revision", value.modified);
    set_number(kv, "lease", value.lease);
    return kv;
}

fake_key_range range_of(const json::object& body) {
    return {.begin = bytes_of(body, "key"), .end = bytes_of(body, "range_end")};
}

json::object read_keys(const fake_platform_store& store,
                       const json::object& body) {
    json::array kvs;
    const auto values =
        store.read(range_of(body), number_of(body, "min_mod_revision"));
    for (const stored_value& value : values) {
        kvs.push_back(to_kv(value));
    }
    json::object answer{{"header", header_of(store)}};
    if (!kvs.empty()) {
        answer["count"] = std::to_string(kvs.size());
        answer["kvs"] = std::move(kvs);
    }
    return answer;
}

std::uint64_t compared_number(const json::object& compare,
                              const stored_value& value,
                              std::uint64_t& wanted) {
    const std::string target(compare.at("target").as_string());
    if (target == "MOD") {
        wanted = number_of(compare, "mod_revision");
        return value.modified;
    }
    if (target == "CREATE") {
        wanted = number_of(compare, "create_revision");
        return value.created;
    }
    if (target == "LEASE") {
        wanted = number_of(compare, "lease");
        return value.lease;
    }
    throw std::invalid_argument("target " + target);
}

bool is_condition_met(const fake_platform_store& store,
                      const json::object& compare) {
    const auto found = store.find(bytes_of(compare, "key"));
    std::uint64_t wanted = 0;
    const std::uint64_t actual =
        compared_number(compare, found.value_or(stored_value{}), wanted);
    const json::value* const result = compare.if_contains("result");
    const std::string relation =
        result == nullptr ? "EQUAL" : std::string(result->as_string());
    if (relation == "EQUAL") {
        return actual == wanted;
    }
    if (relation == "NOT_EQUAL") {
        return actual != wanted;
    }
    return relation == "GREATER" ? actual > wanted : actual < wanted;
}

json::object put_key(fake_platform_store& store, const json::object& body) {
    if (!store.put(bytes_of(body, "key"), bytes_of(body, "value"),
                   number_of(body, "lease"))) {
        throw std::out_of_range("etcdserver: requested lease not found");
    }
    return {};
}

json::object erase_keys(fake_platform_store& store, const json::object& body) {
    return {{"deleted", std::to_string(store.erase(range_of(body)))}};
}

json::object execute_operation(fake_platform_store& store,
                               const json::object& operation) {
    if (const auto* put = operation.if_contains("request_put")) {
        return {{"response_put", put_key(store, put->as_object())}};
    }
    if (const auto* erase = operation.if_contains("request_delete_range")) {
        return {
            {"response_delete_range", erase_keys(store, erase->as_object())}};
    }
    return {{"response_range",
             read_keys(store, operation.at("request_range").as_object())}};
}

json::object transact(fake_platform_store& store, const json::object& body) {
    bool has_succeeded = true;
    for (const json::value& compare : body.at("compare").as_array()) {
        has_succeeded =
            has_succeeded && is_condition_met(store, compare.as_object());
    }
    const json::value* const branch =
        body.if_contains(has_succeeded ? "success" : "failure");
    json::array responses;
    store.begin();
    if (branch != nullptr) {
        for (const json::value& operation : branch->as_array()) {
            responses.push_back(
                execute_operation(store, operation.as_object()));
        }
    }
    store.commit();
    json::object answer{{"header", header_of(store)}};
    if (has_succeeded) {
        answer["succeeded"] = true;
    }
    answer["responses"] = std::move(responses);
    return answer;
}

json::object single_write(fake_platform_store& store, const json::object& body,
                          json::object (*write)(fake_platform_store&,
                                                const json::object&)) {
    store.begin();
    json::object answer = write(store, body);
    store.commit();
    answer["header"] = header_of(store);
    return answer;
}

json::object grant(fake_platform_store& store, const json::object& body,
                   steady_time now) {
    const std::chrono::seconds time_to_live(number_of(body, "TTL"));
    const std::uint64_t lease = store.grant(time_to_live, now);
    return {{"header", header_of(store)},
            {"ID", std::to_string(lease)},
            {"TTL", std::to_string(time_to_live.count())}};
}

json::object keep(fake_platform_store& store, const json::object& body,
                  steady_time now) {
    const std::uint64_t lease = number_of(body, "ID");
    const auto left = store.keep(lease, now);
    json::object result{{"header", header_of(store)},
                        {"ID", std::to_string(lease)}};
    if (left) {
        result["TTL"] = std::to_string(left->count());
    }
    return {{"result", std::move(result)}};
}

json::object revoke(fake_platform_store& store, const json::object& body) {
    if (!store.revoke(number_of(body, "ID"))) {
        throw std::out_of_range("etcdserver: requested lease not found");
    }
    return {{"header", header_of(store)}};
}

} // namespace

std::optional<json::object> execute_gateway_call(fake_platform_store& store,
                                                 std::string_view path,
                                                 const json::object& body,
                                                 steady_time now) {
    store.expire(now);
    if (path == "/v3/kv/range") {
        return read_keys(store, body);
    }
    if (path == "/v3/kv/txn") {
        return transact(store, body);
    }
    if (path == "/v3/kv/put") {
        return single_write(store, body, put_key);
    }
    if (path == "/v3/kv/deleterange") {
        return single_write(store, body, erase_keys);
    }
    if (path == "/v3/kv/compaction") {
        store.compact(number_of(body, "revision"));
        return json::object{{"header", header_of(store)}};
    }
    if (path == "/v3/lease/grant") {
        return grant(store, body, now);
    }
    if (path == "/v3/lease/keepalive") {
        return keep(store, body, now);
    }
    if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
        return revoke(store, body);
    }
    return {};
}

fake_watch read_gateway_watch(const json::object& body) {
    const json::object& create = body.at("create_request").as_object();
    return {.range = range_of(create),
            .start = number_of(create, "start_revision")};
}

json::object gateway_watch_created(const fake_platform_store& store,
                                   const fake_watch& watch) {
    json::object result{{"header", header_of(store)}, {"created", true}};
    if (watch.start <= store.compacted()) {
        result["canceled"] = true;
        set_number(result, "compact_revision", store.compacted());
    }
    return {{"result", std::move(result)}};
}

json::object
gateway_watch_events(const fake_platform_store& store,
                     const std::vector<fake_store_change>& changes) {
    json::array events;
    for (const fake_store_change& change : changes) {
        json::object event{{"kv", to_kv(change.value)}};
        if (change.is_delete) {
            event["type"] = "DELETE";
        }
        events.push_back(std::move(event));
    }
    return {{"result", json::object{{"header", header_of(store)},
                                    {"events", std::move(events)}}}};
}

} // namespace savorydock
