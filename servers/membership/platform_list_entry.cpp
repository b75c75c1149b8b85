#include "servers/membership/platform_list_entry.hpp"

#include "core/object_reader.hpp"

#include <string>

namespace savorydock {

namespace {

std::optional<boost::json::object> read_entry(const stored_value& value) {
    auto parsed = parse_commented_json(value.value);
    if (!parsed || !parsed->is_object()) {
        return std::nullopt;
    }
    return parsed->as_object();
}

std::string text_member(const boost::json::object& entry,
                        std::string_view name) {
    const auto* found = entry.if_contains(name);
    return found != nullptr && found->is_string()
               ? std::string(found->as_string())
               : std::string();
}

} // namespace

std::optional<member_record> read_listed_instance(const stored_value& value) {
    const auto entry = read_entry(value);
    if (!entry || value.key.size() <= instance_list_prefix.size()) {
        return std::nullopt;
    }
    const auto address = parse_endpoint(text_member(*entry, "address"));
    if (!address) {
        return std::nullopt;
    }
    return member_record{
        .name = instance_id(value.key.substr(instance_list_prefix.size())),
        .zone = availability_zone(text_member(*entry, "zone")),
        .address = *address};
}

std::optional<listed_upstream> read_listed_upstream(const stored_value& value) {
    const std::size_t start = upstream_list_prefix.size();
    const std::size_t slash = value.key.find('/', start);
    const auto entry = read_entry(value);
    if (!entry || slash == std::string::npos) {
        return std::nullopt;
    }
    return listed_upstream{
        .key = {service_name(value.key.substr(start, slash - start)),
                upstream_id(value.key.substr(slash + 1))},
        .is_leaving = text_member(*entry, "state") == "leaving"};
}

} // namespace savorydock
