#include "servers/feed/node_directory.hpp"

#include <boost/json.hpp>

namespace savorydock {

namespace json = boost::json;

std::string node_key(const instance_id& instance) {
    return std::string(node_prefix) + instance.text();
}

std::string encode_node_entry(const node_entry& entry) {
    return json::serialize(
        json::object{{"zone", entry.zone.text()},
                     {"address", to_text(entry.address)},
                     {"processor_share", entry.processor_share},
                     {"is_leaving", entry.is_leaving}});
}

outcome<node_entry> decode_node_entry(std::string_view key,
                                      std::string_view text) {
    const failure invalid{result_code::invalid_document,
                          "not a valid instance entry"};
    if (!key.starts_with(node_prefix)) {
        return invalid;
    }
    try {
        const json::value source = json::parse(text);
        auto address =
            parse_endpoint(std::string(source.at("address").as_string()));
        if (!address) {
            return address.reason();
        }
        return node_entry{
            .instance =
                instance_id(std::string(key.substr(node_prefix.size()))),
            .zone =
                availability_zone(std::string(source.at("zone").as_string())),
            .address = std::move(*address),
            .processor_share = source.at("processor_share").to_number<double>(),
            .is_leaving = source.at("is_leaving").as_bool()};
    } catch (const std::exception&) {
        return invalid;
    }
}

} // namespace savorydock
