#include "drivers/platform_kv/gateway_codec.hpp"

#include "core/base64.hpp"

#include <boost/json.hpp>

#include <charconv>
#include <stdexcept>

namespace savorydock {

namespace {

namespace json = boost::json;

constexpr unsigned http_ok = 200;
constexpr unsigned http_not_found = 404;
constexpr std::string_view no_lease_text = "lease not found";

failure invalid_answer(std::string detail) {
    return {result_code::platform_unreachable,
            "invalid response: " + std::move(detail)};
}

// The gateway encodes 64-bit numbers as strings and omits zeros.
std::uint64_t number_of(const json::object& object, std::string_view name) {
    const json::value* const member = object.if_contains(name);
    if (member == nullptr) {
        return 0;
    }
    if (!member->is_string()) {
        return member->to_number<std::uint64_t>();
    }
    const std::string_view text = member->get_string();
    std::uint64_t number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        throw std::invalid_argument(std::string(name) + " is not a number");
    }
    return number;
}

std::string bytes_of(const json::object& object, std::string_view name) {
    const json::value* const member = object.if_contains(name);
    if (member == nullptr) {
        return {};
    }
    auto bytes = from_base64(std::string_view(member->as_string()));
    if (!bytes) {
        throw std::invalid_argument(bytes.reason().detail);
    }
    return *bytes;
}

bool is_true(const json::object& object, std::string_view name) {
    const json::value* const member = object.if_contains(name);
    return member != nullptr && member->as_bool();
}

store_revision header_revision(const json::object& answer) {
    return number_of(answer.at("header").as_object(), "revision");
}

stored_value read_value(const json::object& kv) {
    return {
        .key = bytes_of(kv, "key"),
        .value = bytes_of(kv, "value"),
        .created = number_of(kv, "create_revision"),
        .modified = number_of(kv, "mod_revision"),
        .lease = number_of(kv, "lease"),
    };
}

void read_values(const json::object& range, std::vector<stored_value>& out) {
    const json::value* const kvs = range.if_contains("kvs");
    if (kvs == nullptr) {
        return;
    }
    for (const json::value& kv : kvs->as_array()) {
        out.push_back(read_value(kv.as_object()));
    }
}

json::object range_members(const std::string& key, bool is_prefix) {
    json::object range{{"key", to_base64(key)}};
    if (is_prefix) {
        range["range_end"] = to_base64(end_of_prefix(key));
    }
    return range;
}

struct call_encoder {
    gateway_call operator()(const read_range& request) const {
        json::object body = range_members(request.key, request.is_prefix);
        if (request.min_modified != 0) {
            body["min_mod_revision"] = std::to_string(request.min_modified);
        }
        return {"/v3/kv/range", json::serialize(body)};
    }

    gateway_call operator()(const compare_and_swap& request) const {
        const std::string key = to_base64(request.key);
        json::object put{{"key", key}, {"value", to_base64(request.value)}};
        if (request.lease != 0) {
            put["lease"] = std::to_string(request.lease);
        }
        const json::object compare{
            {"key", key},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", std::to_string(request.expected)},
        };
        const json::object body{
            {"compare", json::array{compare}},
            {"success", json::array{json::object{{"request_put", put}}}},
            {"failure", json::array{json::object{
                            {"request_range", json::object{{"key", key}}}}}},
        };
        return {"/v3/kv/txn", json::serialize(body)};
    }

    gateway_call operator()(const grant_lease& request) const {
        const json::object body{
            {"TTL", std::to_string(request.time_to_live.count())}};
        return {"/v3/lease/grant", json::serialize(body)};
    }

    gateway_call operator()(const renew_lease& request) const {
        return {"/v3/lease/keepalive", lease_body(request.lease)};
    }

    gateway_call operator()(const revoke_lease& request) const {
        return {"/v3/lease/revoke", lease_body(request.lease)};
    }

    gateway_call operator()(const watch_prefix& request) const {
        json::object create = range_members(request.prefix, true);
        create["start_revision"] = std::to_string(request.start);
        return {"/v3/watch",
                json::serialize(json::object{{"create_request", create}})};
    }

    static std::string lease_body(std::uint64_t lease) {
        return json::serialize(json::object{{"ID", std::to_string(lease)}});
    }
};

struct answer_reader {
    const json::object& body;
    platform_answer answer{};

    void operator()(const read_range&) {
        answer.revision = header_revision(body);
        read_values(body, answer.values);
    }

    void operator()(const compare_and_swap&) {
        answer.revision = header_revision(body);
        answer.has_swapped = is_true(body, "succeeded");
        if (answer.has_swapped) {
            return;
        }
        for (const json::value& part : body.at("responses").as_array()) {
            read_values(part.at("response_range").as_object(), answer.values);
        }
    }

    void operator()(const grant_lease&) { read_lease(body); }

    void operator()(const renew_lease&) {
        read_lease(body.at("result").as_object());
    }

    void operator()(const revoke_lease&) {
        answer.revision = header_revision(body);
    }

    void operator()(const watch_prefix&) {
        throw std::invalid_argument("a watch has no single answer");
    }

    void read_lease(const json::object& source) {
        answer.revision = header_revision(source);
        answer.lease = number_of(source, "ID");
        answer.time_to_live = std::chrono::seconds(number_of(source, "TTL"));
    }
};

failure failure_for_status(unsigned status, std::string_view body) {
    const bool is_lease = status == http_not_found &&
                          body.find(no_lease_text) != std::string_view::npos;
    return {is_lease ? result_code::lease_not_held
                     : result_code::platform_unreachable,
            "status " + std::to_string(status)};
}

// The gateway answers the renewal of an expired lease with a TTL of zero.
bool is_ended_lease(const platform_request& request,
                    const platform_answer& answer) {
    return std::holds_alternative<renew_lease>(request) &&
           answer.time_to_live.count() == 0;
}

} // namespace

std::string end_of_prefix(std::string prefix) {
    constexpr char last_octet = '\xff';
    while (!prefix.empty() && prefix.back() == last_octet) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0');
    }
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

gateway_call encode_gateway_call(const platform_request& request) {
    return std::visit(call_encoder{}, request);
}

outcome<platform_answer> decode_gateway_answer(const platform_request& request,
                                               unsigned status,
                                               std::string_view body) {
    if (status != http_ok) {
        return failure_for_status(status, body);
    }
    try {
        const json::value parsed = json::parse(body);
        answer_reader reader{parsed.as_object()};
        std::visit(reader, request);
        if (is_ended_lease(request, reader.answer)) {
            return failure{result_code::lease_not_held, "the lease has ended"};
        }
        return reader.answer;
    } catch (const std::exception& error) {
        return invalid_answer(error.what());
    }
}

outcome<watch_frame> decode_watch_frame(std::string_view text) {
    try {
        const json::value parsed = json::parse(text);
        const json::object& result = parsed.at("result").as_object();
        watch_frame frame;
        frame.answer.revision = header_revision(result);
        frame.answer.is_compacted = number_of(result, "compact_revision") != 0;
        frame.is_cancelled = is_true(result, "canceled");
        const json::value* const events = result.if_contains("events");
        if (events == nullptr) {
            return frame;
        }
        for (const json::value& event : events->as_array()) {
            const json::value* const type =
                event.as_object().if_contains("type");
            stored_value value = read_value(event.at("kv").as_object());
            if (type != nullptr && type->as_string() == "DELETE") {
                frame.answer.deleted.push_back(std::move(value.key));
            } else {
                frame.answer.values.push_back(std::move(value));
            }
        }
        return frame;
    } catch (const std::exception& error) {
        return invalid_answer(error.what());
    }
}

} // namespace savorydock
